package telemetry

import "indigousher/planner"

// failingFraction is the fraction of failed attempts above which an endpoint counts as failing.
const failingFraction = 0.2

// endpoint is the state of an endpoint's present incarnation.
type endpoint struct {
	startedMs float64 // 0: in the distant past
	listed    bool
	draining  bool
	failing   bool // it was failing at the last flush
}

// warmingUp reports whether the endpoint started less than coldMs ago.
func (e *endpoint) warmingUp(nowMs, coldMs float64) bool {
	return e.startedMs != 0 && nowMs-e.startedMs < coldMs
}

// currentFraction returns the fraction of a span ending at endMs that falls into the endpoint's present incarnation. It
// is not positive if the whole span was before the restart.
func (e *endpoint) currentFraction(endMs, spanMs float64) float64 {
	if e.startedMs > endMs-spanMs && e.startedMs != 0 {
		return (endMs - e.startedMs) / spanMs
	}
	return 1
}

// UpdateEndpoint updates an endpoint from the endpoint list. If it is gone or has restarted, its pending sums are
// dropped: they are about its previous incarnation.
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

// dropEndpointSums removes an endpoint's sums in all zones.
func (a *Aggregator[L]) dropEndpointSums(id int) {
	for key, s := range a.endpointSums {
		if key.endpoint == id {
			a.dequeue(s)
			delete(a.endpointSums, key)
		}
	}
}
