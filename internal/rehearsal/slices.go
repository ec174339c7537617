package rehearsal

import (
	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// dealSlices has the store give each slice to one endpoint, in turn.
func (s *stage) dealSlices() {
	for i := range s.Scenario.Slices {
		s.owners = append(s.owners, s.endpoints[i%len(s.endpoints)].Address())
		s.give(i)
	}
}

// give tells pilots what the store holds of a slice.
func (s *stage) give(i int) {
	x := wire.Slices{Slice: i, Given: true, From: loadgen.Key(i * scenario.KeysPerSlice), To: loadgen.Key((i + 1) * scenario.KeysPerSlice),
		Lines: []wire.HeldLine{{Endpoint: s.owners[i], Weight: 1}}}
	s.own.Add(eventlog.Event{What: eventlog.Given, Peer: s.owners[i], N: i, Text: x.From})
	s.list.AssignSlice(x)
}

// moveSlices has the store give the slices of some endpoints to the others, in turn.
func (s *stage) moveSlices(from []*endpoint.Endpoint) {
	leaving := map[string]bool{}
	for _, e := range from {
		leaving[e.Address()] = true
	}
	s.mu.Lock()
	var stay []string
	for _, e := range s.endpoints {
		if !leaving[e.Address()] {
			stay = append(stay, e.Address())
		}
	}
	s.mu.Unlock()
	for i, owner := range s.owners {
		if leaving[owner] && len(stay) > 0 {
			s.owners[i] = stay[i%len(stay)]
			s.give(i)
		}
	}
}
