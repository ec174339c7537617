package emulator

import "math"

// workToleranceMs is the remaining work in ms up to which a request counts as complete. Floating-point rounding may
// leave such a remainder.
const workToleranceMs = 1e-9

// countSharedWork subtracts the work done since the last call from each request in flight. All requests get an equal
// share of the cores, up to one core each. No work is done during a pause fault.
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

// shareOfCores returns the fraction of one core that each request gets if the given number of requests share the
// cores.
func (e *emulatedEndpoint) shareOfCores(requests int) float64 {
	return min(1, float64(e.Cores)/float64(requests))
}

// scheduleSharedCompletion sets a timer for the completion of the request with the least remaining work. Each call
// invalidates earlier timers, because the shares of the requests have changed.
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

// removeCompleted removes the completed requests and returns them.
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
