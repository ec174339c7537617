package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// zoneTable returns the table of a zone's proxies for the first class group.
func (h *harness) zoneTable(zone int) int {
	return h.planner.tableNumber(zone*h.planner.subsetsOfZone, 0)
}

// TestReassignedIndexInUnusedTable guards against review case 1: while no proxy used a table, its endpoint left the list
// and the endpoint's index was given to another one, whose line was then taken for sent.
func TestReassignedIndexInUnusedTable(t *testing.T) {
	h := newHarness(t, nil)
	h.rounds(5, steady(1, 10, 0, 0.3, 0, 1, 2, 3, 4, 5))
	table := h.zoneTable(1)
	require.Positive(t, h.weights[table][2])
	h.step(ProxyLeft{Proxy: 1})
	gone := []Entry{{Endpoint: 2, Zone: 1, Weight: 2, Phase: Gone}, {Endpoint: 3, Zone: 1, Machine: 1, Weight: 2, Phase: Gone}}
	h.step(EndpointUpdate{Mode: Delta, Entries: gone})
	h.rounds(60, steady(0, 10, 0, 0.3, 0, 1, 4, 5))
	require.Positive(t, h.weights[table][2], "the line stays in a table without users")

	next := []Entry{{Endpoint: 2, Zone: 1, Weight: 2, Reassigned: true}, {Endpoint: 3, Zone: 1, Machine: 1, Weight: 2, Reassigned: true}}
	commands := h.step(EndpointUpdate{Mode: Delta, Entries: next})
	assert.Contains(t, commands, ClearTable{table}, "the lines name other endpoints")
	assert.NotContains(t, commands, ClearTable{h.zoneTable(0)}, "a table without these lines is kept")
	h.rounds(2, steady(0, 10, 0, 0.3, 0, 1, 4, 5))
	commands = h.step(ProxyJoined{Proxy: 1, Zone: 1, Rate: 20})
	h.rounds(2, steady(1, 10, 0, 0.3, 0, 1, 2, 3, 4, 5))
	assert.Positive(t, h.weights[table][2], "lines of the new endpoints were sent: %v", commands)
	assert.Positive(t, h.weights[table][3])
	assert.NotEmpty(t, h.assigned[1])
	assert.NotEmpty(t, h.admission, "admission levels were sent again")
}

// TestReassignedIndexIsReadmitted guards against a form of review case 1: an endpoint that was excluded under another index
// came back and stayed excluded, or the exclusion of an index was taken for that of the endpoint that has it now.
func TestReassignedIndexIsReadmitted(t *testing.T) {
	h := newHarness(t, nil)
	h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 2, Zone: 1, Weight: 2, Phase: Gone}}})
	require.True(t, h.excluded[2])
	h.now += 61000
	commands := h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{
		{Endpoint: 2, Zone: 1, Weight: 2, Reassigned: true}, {Endpoint: 6, Zone: 0, Weight: 2, Reassigned: true},
	}})
	assert.Contains(t, commands, SetExcluded{2, false}, "the endpoint may have been excluded under another index")
	assert.Contains(t, commands, SetExcluded{6, false})
	h.now += 1000
	commands = h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 2, Zone: 1, Weight: 2, Phase: Draining}}})
	assert.Contains(t, commands, SetExcluded{2, true}, "the new endpoint is excluded although its index was excluded before")
}

// TestReassignedIndexLosesState checks that load, health and start of the endpoint that had the index before are dropped.
func TestReassignedIndexLosesState(t *testing.T) {
	h := newHarness(t, nil)
	h.rounds(8, together(steady(0, 0, 20, 2, 0), steady(0, 20, 0, 0.3, 1)))
	h.step(restarted(h.now))
	require.True(t, h.planner.endpoints[0].restarted)
	h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Reassigned: true}}})
	e := h.planner.endpoints[0]
	assert.False(t, e.restarted)
	assert.False(t, e.Reassigned, "it holds for the first entry only")
	assert.Zero(t, e.penalty)
	assert.Zero(t, e.Started)
	assert.False(t, e.load.isFresh(h.now))
}
