package intake

import "indigousher/brain"

type endpoint struct {
	started float64
	listed  bool
	drains  bool
	failing bool // seen to fail when last told
}

// List tells of an endpoint. One that is gone or has started anew loses what waits of it: it was another's.
func (in *Intake[L]) List(nowMs float64, id int, phase brain.Phase, startedMs float64) {
	e := in.endpoints[id]
	if e == nil {
		e = &endpoint{}
		in.endpoints[id] = e
	}
	if phase == brain.Gone || e.listed && startedMs != e.started {
		for key, m := range in.mets {
			if key.endpoint == id {
				in.forget(m)
				delete(in.mets, key)
			}
		}
		*e = endpoint{}
	}
	e.listed, e.started, e.drains = phase != brain.Gone, startedMs, phase == brain.Draining
	if phase == brain.Gone {
		delete(in.endpoints, id)
	}
}

// failingPart is the part of failed tries from which an endpoint counts as failing.
const failingPart = 0.2
