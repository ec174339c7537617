package rehearsal

import (
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
)

// assignSlices assigns the slices of the key space to the endpoints in round-robin order.
func (s *environment) assignSlices() {
	for slice := range s.Scenario.Slices {
		owner := s.endpoints[slice%len(s.endpoints)]
		s.sliceOwners = append(s.sliceOwners, owner.Address())
		s.announceSlice(slice)
	}
}

// announceSlice publishes the owner of a slice in the registry and records the assignment in the event log.
func (s *environment) announceSlice(slice int) {
	owner := s.sliceOwners[slice]
	assignment := loadgen.SliceAssignment(slice, owner)
	s.rehearsalLog.Add(eventlog.Event{What: eventlog.Given, Peer: owner, N: slice, Text: assignment.From})
	s.registry.AssignSlice(assignment)
}

// moveSlices reassigns the slices of some endpoints to the remaining ones. It does nothing if none remain.
func (s *environment) moveSlices(from []*endpoint.Endpoint) {
	leaving := map[string]bool{}
	for _, e := range from {
		leaving[e.Address()] = true
	}
	staying := s.addressesExcept(leaving)
	if len(staying) == 0 {
		return
	}
	for slice, owner := range s.sliceOwners {
		if leaving[owner] {
			s.sliceOwners[slice] = staying[slice%len(staying)]
			s.announceSlice(slice)
		}
	}
}

// addressesExcept returns the addresses of all endpoints whose address is not in the set.
func (s *environment) addressesExcept(leaving map[string]bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var staying []string
	for _, e := range s.endpoints {
		if !leaving[e.Address()] {
			staying = append(staying, e.Address())
		}
	}
	return staying
}
