package routing

import "indigousher/internal/wire"

// Apply applies all operations of one message, in order, and returns the numbers of the acks that the message requests.
func (r *Router) Apply(ops []wire.Op) (ackRequests []int) {
	defer r.invalidateCandidates()
	for _, o := range ops {
		switch o.Kind {
		case wire.OpAssignTable:
			r.assign(o)
		case wire.OpSetWeight:
			r.table(o.Table).setWeight(o.Endpoint, o.Weight)
		case wire.OpClearTable:
			t := r.table(o.Table)
			clear(t.lines)
			clear(t.admission)
		case wire.OpSetExcluded:
			r.setExcluded(o.Endpoint, o.Remove)
		case wire.OpSetAdmission:
			r.setAdmission(o)
		case wire.OpAckRequest:
			ackRequests = append(ackRequests, o.AckNumber)
		case wire.OpAssignRange:
			r.assignRange(o)
		}
	}
	return ackRequests
}

// setExcluded excludes an endpoint from all tables regardless of its weight, or ends the exclusion.
func (r *Router) setExcluded(endpoint string, excluded bool) {
	if excluded {
		r.excluded[endpoint] = true
		return
	}
	delete(r.excluded, endpoint)
	delete(r.previouslyExcluded, endpoint)
}
