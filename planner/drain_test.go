package planner

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDrainAndReturn(t *testing.T) {
	for name, phase := range map[string]Phase{"draining": Draining, "gone": Gone} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			leaving := Entry{Endpoint: 0, Zone: 0, Weight: 2, Phase: phase}
			commands := h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{leaving}})
			require.NotEmpty(t, commands)
			assert.Contains(t, commands, SetExcluded{0, true}, "the endpoint is excluded at once")
			assert.Zero(t, h.weights[0][0])
			h.now = 50000
			h.step(restarted(h.now))
			assert.False(t, h.excluded[0])
			assert.Less(t, h.share(0, 0), 0.05, "a restarted endpoint warms up")
		})
	}
	h := newHarness(t, nil)
	h.step(EndpointUpdate{Mode: Snapshot, Entries: []Entry{{Endpoint: 1, Zone: 0, Weight: 2}}})
	assert.True(t, h.excluded[0] && h.excluded[5] && !h.excluded[1], "endpoints missing from a snapshot are gone")
}

// TestWarmingEndpointsAreReadmittedLast guards endpoints that restart while they are excluded against overload during
// warm-up. When they were readmitted at once, proxies that still used their static tables sent them a full share of the
// requests (simulated scenario zone+mass, seed 2: 3.5 times an endpoint's capacity).
func TestWarmingEndpointsAreReadmittedLast(t *testing.T) {
	for name, c := range map[string]struct {
		age        float64 // of the endpoint's process when it is listed again, in ms
		proxyWaits bool    // a proxy waits for its tables
		readmitted bool    // the endpoint should be readmitted at once
	}{
		"warming up, proxy uses its static table": {1, true, false},
		"warming up, all proxies have tables":     {1, false, true},
		"warm":                                    {20000, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.now = 50000
			h.step()
			window := &h.planner.publisher.window
			fillChannel := func() { // leaves no room to assign tables
				window.queued = 1400
				window.delivered = window.written
			}
			fillChannel()
			gone := Entry{Endpoint: 0, Zone: 0, Weight: 2, Phase: Gone}
			h.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20}, EndpointUpdate{Entries: []Entry{gone}})
			h.now += 1000
			fillChannel()
			require.Contains(t, h.step(TimerFired{assignmentTimer}), SetExcluded{0, true}, "halfway through the drain grace")
			h.now += 100
			fillChannel()
			if !c.proxyWaits {
				window.queued = 0
			}
			h.step()
			fillChannel()
			commands := h.step(restarted(h.now - c.age))
			assert.Equal(t, c.readmitted, slices.Contains(commands, Command(SetExcluded{0, false})))
			window.queued = 0
			h.rounds(2, nil)
			assert.False(t, h.excluded[0], "readmitted once all proxies have tables")
		})
	}
}
