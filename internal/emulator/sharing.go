package emulator

import "math"

// workToleranceMs is less work than counts; rounding may leave it of a request that is done.
const workToleranceMs = 1e-9

// countSharedWork counts off the work done since the last time: each request in flight has its part of the cores.
func (e *emulatedEndpoint) countSharedWork(process *endpointProcess) {
	spanMs := e.w.now - max(process.workCountedUntil, min(e.pausedUntil, e.w.now))
	process.workCountedUntil = e.w.now
	inFlight := len(process.sharedTasks)
	if inFlight == 0 || spanMs <= 0 {
		return
	}
	done := e.shareOfCores(inFlight) * e.Speed * e.speedFactor(process) * spanMs
	for _, t := range process.sharedTasks {
		t.workMs -= done
	}
	process.busyMs += spanMs * float64(min(inFlight, e.Cores))
}

// shareOfCores returns how much of a core each of some requests has.
func (e *emulatedEndpoint) shareOfCores(requests int) float64 {
	return min(1, float64(e.Cores)/float64(requests))
}

// scheduleSharedEnd sets the timer for when the request with the least work left is done. Each call makes earlier
// timers void, since the requests' parts have changed.
func (e *emulatedEndpoint) scheduleSharedCompletion(process *endpointProcess) {
	inFlight := len(process.sharedTasks)
	if inFlight == 0 {
		return
	}
	leastMs := math.Inf(1)
	for _, t := range process.sharedTasks {
		leastMs = min(leastMs, t.workMs)
	}
	speed := e.shareOfCores(inFlight) * e.Speed * e.speedFactor(process)
	process.timerGeneration++
	number := process.timerGeneration
	e.w.After(max(0, leastMs/speed)+max(0, e.pausedUntil-e.w.now), func() {
		if e.process != process || process.timerGeneration != number {
			return
		}
		e.countSharedWork(process)
		for _, t := range process.removeCompleted() {
			e.finish(process, t)
		}
		e.scheduleSharedCompletion(process)
	})
}

// takeDone removes the requests that are done and returns them.
func (p *endpointProcess) removeCompleted() []*task {
	left := p.sharedTasks[:0]
	var done []*task
	for _, t := range p.sharedTasks {
		if t.workMs <= workToleranceMs {
			done = append(done, t)
		} else {
			left = append(left, t)
		}
	}
	p.sharedTasks = left
	return done
}
