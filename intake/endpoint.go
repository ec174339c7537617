package intake

import "indigousher/brain"

type endpoint struct {
	startedMs float64
	listed    bool
	draining  bool
	failing   bool // seen to fail when last told
}

// List tells of an endpoint. One that is gone or has started anew loses what waits of it: it was another's.
func (a *Intake[L]) List(nowMs float64, id int, phase brain.Phase, startedMs float64) {
	e := a.endpoints[id]
	if e == nil {
		e = &endpoint{}
		a.endpoints[id] = e
	}
	if phase == brain.Gone || e.listed && startedMs != e.startedMs {
		for key, m := range a.endpointSums {
			if key.endpoint == id {
				a.dequeue(m)
				delete(a.endpointSums, key)
			}
		}
		*e = endpoint{}
	}
	e.listed, e.startedMs, e.draining = phase != brain.Gone, startedMs, phase == brain.Draining
	if phase == brain.Gone {
		delete(a.endpoints, id)
	}
}

// failingFraction is the part of failed tries from which an endpoint counts as failing.
const failingFraction = 0.2
