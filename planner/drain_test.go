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

// TestExclusionAboveBacklog guards against review case 3: an exclusion was charged for all proxies that wait for their
// tables, which was more than the channel's backlog, so that it was never sent although the channel was empty.
func TestExclusionAboveBacklog(t *testing.T) {
	for name, c := range map[string]struct {
		proxies   int     // that wait for their tables
		endpoints int     // in their zone
		backlog   float64 // of the channel
	}{
		"static tables contain only their own zone": {300, 4, 1200},
		"each proxy may hold the endpoint":          {300, 2, 1200},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["proxy_count"] = 2.0 + float64(c.proxies)
				settings["standing"] = 5.0
				settings["backlog"] = c.backlog
				settings["lines_per_s"] = 800.0
			})
			h.step(ProxyLeft{Proxy: 0}, ProxyLeft{Proxy: 1})
			for i := 2; i < c.endpoints; i++ {
				h.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 4 + i, Zone: 0, Weight: 2}}})
			}
			h.join(2, 2+c.proxies, 0, 1)
			h.planner.publisher.window = sendWindow{}
			h.now += 60000
			drains := []Entry{{Endpoint: 2, Zone: 1, Weight: 2, Phase: Draining}}
			h.step(EndpointUpdate{Mode: Delta, Entries: drains})
			grace := h.planner.settings.DrainGraceMs
			for end := h.now + grace; h.now < end && !h.excluded[2]; h.now += 50 {
				h.step()
			}
			assert.True(t, h.excluded[2], "excluded within the drain grace")
		})
	}
}
