package emulator

import (
	"slices"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
)

// rehearsalName is who logs what the run itself does.
const rehearsalName = "rehearsal"

// assignSlices gives the slices of the key space to the endpoints, in turn.
func (w *World) assignSlices() {
	for slice := range w.Scenario.Slices {
		owner := w.endpoints[slice%len(w.endpoints)]
		w.sliceOwners = append(w.sliceOwners, owner.Name)
		w.announceSlice(slice)
	}
}

// announceSlice has the registry notify the pilots of a slice's owner.
func (w *World) announceSlice(slice int) {
	owner := w.sliceOwners[slice]
	assignment := loadgen.SliceAssignment(slice, owner)
	w.logEvent(rehearsalName, eventlog.Event{What: eventlog.Given, Peer: owner, N: slice, Text: assignment.From})
	w.registry.assignSlice(assignment)
}

// moveSlices gives the slices of some endpoints to the others, in turn.
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
