package planner

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTablesAreAssignedIfPlanDiverges guards the channel of thousands: all were assigned tables at the start, which took it
// half a minute, and tables changed once in ten seconds served less than those they replaced (calm+mass of seed 3 at
// full size: 0.82 with tables, 0.85 without, 0.09 of G for commands). Whatever standing tables can't bring has all
// assigned again.
func TestTablesAreAssignedIfPlanDiverges(t *testing.T) {
	started := func(e *Entry, now float64) { e.Started = now }
	drains := func(e *Entry, _ float64) { e.Phase = Draining }
	for name, c := range map[string]struct {
		proxies, endpoints int // of the zone
		settings           map[string]any
		change             func(e *Entry, now float64) // of one endpoint of the zone, after ten rounds
		load               float64                     // of it then; of the others 0.4
		failed             int
		othersLoad         float64 // load of the others then
		assigned           bool
	}{
		"nothing diverges":               {500, 2, nil, nil, 0.4, 0, 0.4, false},
		"the channel is wide":            {500, 2, map[string]any{"lines_per_s": 1e6}, nil, 0.4, 0, 0.4, true},
		"chance is large among few":      {12, 2, nil, nil, 0.4, 0, 0.4, true},
		"standing tables have few lines": {500, 2, map[string]any{"standing": 0.001}, nil, 0.4, 0, 0.4, true},
		"their number is not configured": {500, 2, map[string]any{"standing": 0.0}, nil, 0.4, 0, 0.4, true},
		"one is replaced":                {500, 2, nil, started, 0.4, 0, 0.4, true},
		"one drains":                     {500, 2, nil, drains, 0.4, 0, 0.4, true},
		"one of sixty drains":            {500, 60, nil, drains, 0.4, 0, 0.4, false},
		"one of sixty starts again":      {500, 60, map[string]any{"cold": 60000.0, "backlog": 200000.0}, started, 0.4, 0, 0.4, true},
		"one is full, the other isn't":   {500, 2, nil, nil, 1.3, 0, 0.4, true},
		"all are full":                   {500, 2, map[string]any{"kind_own_zone": []any{true, true}}, nil, 1.3, 0, 1.3, true},
		"one fails":                      {500, 2, nil, nil, 0.4, 20, 0.4, true},
	} {
		t.Run(name, func(t *testing.T) {
			var entries []Entry
			h := newHarness(t, func(settings map[string]any, listed []Entry) {
				entries = listed
				settings["proxy_count"] = float64(3 * c.proxies)
				settings["backlog"] = 30000.0
				settings["standing"] = 5.0
				maps.Copy(settings, c.settings)
			})
			others := []int{1, 2, 3, 4, 5}
			for i := 2; i < c.endpoints; i++ {
				others = append(others, 4+i)
				h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 4 + i, Weight: 2}}})
			}
			clear(h.assigned)
			h.join(0, c.proxies, 0, 1)
			evenLoad := together(steady(0, 20, 0, 0.4, others...), steady(0, 20, 0, 0.4, 0))
			h.rounds(10, evenLoad)
			if c.change != nil || c.load != 0.4 || c.failed > 0 {
				require.Empty(t, h.assigned)
			}
			if c.change != nil {
				c.change(&entries[0], h.now)
				h.step(EndpointUpdate{Mode: Delta, Entries: entries[:1]})
			}
			h.rounds(30, together(steady(0, 20-c.failed, c.failed, c.load, 0), steady(0, 20, 0, c.othersLoad, others...)))
			wantAssigned := 0
			if c.assigned {
				wantAssigned = c.proxies
			}
			assert.Len(t, h.assigned, wantAssigned)
		})
	}
}

// TestStaleAssignments guards what is assumed of proxies after nobody has seen whether they left. Taken for
// unassigned, 76 that had tables cost lines nobody counted, the channel overflowed, and drains reached them 8 s late
// (split+mass of seed 2). Taken for assigned, one that came back would be notified of no drain.
func TestStaleAssignments(t *testing.T) {
	for name, c := range map[string]struct {
		rejoined      ProxyJoined
		beforeAck     []Event // after it rejoined, before it acknowledges
		acknowledges  bool
		assignments   int // beside the first, in the end
		assignedAfter bool
	}{
		"acknowledges a line of its table": {ProxyJoined{Resumed: true}, nil, true, 0, true},
		"does not acknowledge":             {ProxyJoined{Resumed: true}, nil, false, 1, true},
		"came back":                        {ProxyJoined{}, nil, true, 1, false},
		"acknowledges an exclusion, which reaches all": {
			ProxyJoined{Resumed: true},
			[]Event{EndpointUpdate{Entries: []Entry{{Endpoint: 1, Zone: 0, Weight: 2, Phase: Draining}}}},
			true, 1, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.rounds(4, steady(0, 20, 0, 0.4, 0, 1, 2, 3))
			require.Len(t, h.assigned[0], 1)
			c.rejoined.Rate = 20
			h.planner.publisher.window.queued = h.planner.settings.BacklogLines / 3 // no room to assign at once
			h.step(c.rejoined)
			h.planner.publisher.window.queued = h.planner.settings.BacklogLines / 3
			assert.Equal(t, c.assignedAfter, h.planner.publisher.proxies[0].assigned, "its lines cost")
			h.now += 100
			reweighted := EndpointUpdate{Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 9}}}
			commands := h.step(append(c.beforeAck, reweighted)...)
			if c.beforeAck != nil { // excluded halfway through the grace
				h.now += 1100
				h.planner.publisher.window.queued = 2 * h.planner.settings.BacklogLines // nothing that can wait goes out
				commands = h.step()
				require.Contains(t, commands, SetExcluded{1, true})
				assigns := func(c Command) bool { _, is := c.(AssignTable); return is }
				assert.True(t, slices.ContainsFunc(commands, assigns),
					"an exclusion may reach nobody: an assignment beside it brings an acknowledgement")
			}
			if numbers := ackRequests(commands); c.acknowledges && len(numbers) > 0 {
				h.now += 100
				h.step(Ack{Proxy: 0, Number: numbers[0]})
			}
			h.rounds(6, nil)
			assert.Len(t, h.assigned[0], 1+c.assignments)
			assert.True(t, h.planner.publisher.proxies[0].confirmed)
		})
	}
}

// ackRequests returns the numbers of the requests for an acknowledgement among commands.
func ackRequests(commands []Command) (numbers []int) {
	for _, command := range commands {
		if request, ok := command.(AckRequest); ok {
			numbers = append(numbers, request.Number)
		}
	}
	return numbers
}

// TestEmptyListAssignsNoTables guards the standing tables of proxies that join a controller without a list: an empty
// table assigned over them left nothing to choose from (the rehearsal's empty-start served 0.07 of its first
// seconds).
func TestEmptyListAssignsNoTables(t *testing.T) {
	h := newHarness(t, nil)
	empty := newEmptyHarness(t, h.settings)
	empty.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20})
	empty.rounds(3, nil)
	assert.Empty(t, empty.assigned)
	empty.step(EndpointUpdate{Mode: Snapshot, Entries: []Entry{{Endpoint: 0, Weight: 1}}})
	assert.NotEmpty(t, empty.assigned[0])
	assert.Positive(t, empty.share(0, 0))
}
