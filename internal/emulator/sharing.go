package emulator

import "math"

// workToleranceMs is less work than counts; rounding may leave it of a request that is done.
const workToleranceMs = 1e-9

// countSharedWork counts off the work done since the last time: each request in flight has its part of the cores.
func (e *emulatedEndpoint) countSharedWork(process *endpointProcess) {
	spanMs := e.w.now - max(process.countedAt, min(e.pausedUntil, e.w.now))
	process.countedAt = e.w.now
	inFlight := len(process.sharing)
	if inFlight == 0 || spanMs <= 0 {
		return
	}
	done := e.shareOfCores(inFlight) * e.Speed * e.warmth(process) * spanMs
	for _, t := range process.sharing {
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
func (e *emulatedEndpoint) scheduleSharedEnd(process *endpointProcess) {
	inFlight := len(process.sharing)
	if inFlight == 0 {
		return
	}
	leastMs := math.Inf(1)
	for _, t := range process.sharing {
		leastMs = min(leastMs, t.workMs)
	}
	speed := e.shareOfCores(inFlight) * e.Speed * e.warmth(process)
	process.wakeNumber++
	number := process.wakeNumber
	e.w.After(max(0, leastMs/speed)+max(0, e.pausedUntil-e.w.now), func() {
		if e.process != process || process.wakeNumber != number {
			return
		}
		e.countSharedWork(process)
		for _, t := range process.takeDone() {
			e.finish(process, t)
		}
		e.scheduleSharedEnd(process)
	})
}

// takeDone removes the requests that are done and returns them.
func (p *endpointProcess) takeDone() []*task {
	left := p.sharing[:0]
	var done []*task
	for _, t := range p.sharing {
		if t.workMs <= workToleranceMs {
			done = append(done, t)
		} else {
			left = append(left, t)
		}
	}
	p.sharing = left
	return done
}
