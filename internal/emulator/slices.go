package emulator

import (
	"slices"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
)

// rehearsalName is the value of Event.Who in events of the run itself, such as injected faults and slice
// assignments.
const rehearsalName = "rehearsal"

// assignSlices assigns the slices of the key space to the endpoints in round-robin order.
func (w *World) assignSlices() {
	for slice := range w.Scenario.Slices {
		owner := w.endpoints[slice%len(w.endpoints)]
		w.sliceOwners = append(w.sliceOwners, owner.Name)
		w.announceSlice(slice)
	}
}

// announceSlice logs the owner of a slice and makes the registry notify the pilots of it.
func (w *World) announceSlice(slice int) {
	owner := w.sliceOwners[slice]
	assignment := loadgen.SliceAssignment(slice, owner)
	w.logEvent(rehearsalName, eventlog.Event{What: eventlog.Given, Peer: owner, N: slice, Text: assignment.From})
	w.registry.assignSlice(assignment)
}

// moveSlices reassigns the slices of the given endpoints to the other endpoints in round-robin order. It does
// nothing if there are no other endpoints.
func (w *World) moveSlices(from []*emulatedEndpoint) {
	var staying []string
	for _, endpoint := range w.endpoints {
		if !slices.Contains(from, endpoint) {
			staying = append(staying, endpoint.Name)
		}
	}
	if len(staying) == 0 {
		return
	}
	for slice, owner := range w.sliceOwners {
		if slices.Contains(from, w.endpointByName[owner]) {
			w.sliceOwners[slice] = staying[slice%len(staying)]
			w.announceSlice(slice)
		}
	}
}
