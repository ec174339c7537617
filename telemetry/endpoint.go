package telemetry

import "indigousher/planner"

// failingFraction is the fraction of attempts, from 0 to 1, above which failures mark an endpoint as failing.
const failingFraction = 0.2

// endpoint is the state of an endpoint since its last restart.
type endpoint struct {
	startedMs float64 // start of the process; 0: unknown, long ago
	listed    bool
	draining  bool
	failing   bool // more than failingFraction of the attempts failed at the last flush
}

// warmingUp reports whether the endpoint started less than coldMs ago. It is false if the start is unknown.
func (e *endpoint) warmingUp(nowMs, coldMs float64) bool {
	return e.startedMs != 0 && nowMs-e.startedMs < coldMs
}

// currentFraction returns the fraction of the spanMs before endMs in which the endpoint's current process was running.
// It is zero or negative if the process started after the span.
func (e *endpoint) currentFraction(endMs, spanMs float64) float64 {
	if e.startedMs > endMs-spanMs && e.startedMs != 0 {
		return (endMs - e.startedMs) / spanMs
	}
	return 1
}

// UpdateEndpoint updates the state of an endpoint from the endpoint list. If the endpoint is gone or has restarted, its
// sums are dropped, because they describe the previous process. startedMs is the start of the current process, 0 if it
// is unknown.
func (a *Aggregator[L]) UpdateEndpoint(nowMs float64, id int, phase planner.Phase, startedMs float64) {
	e := a.endpoints[id]
	if e == nil {
		e = &endpoint{}
		a.endpoints[id] = e
	}
	restarted := e.listed && startedMs != e.startedMs
	if phase == planner.Gone || restarted {
		a.dropEndpointSums(id)
		*e = endpoint{}
	}
	if phase == planner.Gone {
		delete(a.endpoints, id)
		return
	}
	e.listed = true
	e.startedMs = startedMs
	e.draining = phase == planner.Draining
}

// dropEndpointSums removes the sums of an endpoint in all zones, including pending ones.
func (a *Aggregator[L]) dropEndpointSums(id int) {
	for key, s := range a.endpointSums {
		if key.endpoint == id {
			a.dequeue(s)
			delete(a.endpointSums, key)
		}
	}
}
