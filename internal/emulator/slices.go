package emulator

import (
	"slices"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// assignSlices has the store give each slice to one endpoint, in turn.
func (w *World) assignSlices() {
	for i := range w.Scenario.Slices {
		w.sliceOwners = append(w.sliceOwners, w.endpoints[i%len(w.endpoints)].Name)
		w.announceSlice(i)
	}
}

func (w *World) announceSlice(i int) {
	x := wire.Slices{Slice: i, Given: true, From: loadgen.Key(i * scenario.KeysPerSlice), To: loadgen.Key((i + 1) * scenario.KeysPerSlice),
		Lines: []wire.HeldLine{{Endpoint: w.sliceOwners[i], Weight: 1}}}
	w.logEvent("rehearsal", eventlog.Event{What: eventlog.Given, Peer: w.sliceOwners[i], N: i, Text: x.From})
	w.registry.assignSlice(x)
}

// moveSlices has the store give the slices of some endpoints to the others, in turn.
func (w *World) moveSlices(from []*emulatedEndpoint) {
	var stay []string
	for _, m := range w.endpoints {
		if !slices.Contains(from, m) {
			stay = append(stay, m.Name)
		}
	}
	for i, owner := range w.sliceOwners {
		if slices.Contains(from, w.endpointByName[owner]) && len(stay) > 0 {
			w.sliceOwners[i] = stay[i%len(stay)]
			w.announceSlice(i)
		}
	}
}
