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
			assert.Contains(t, commands, SetExcluded{0, true}, "drains come first, at once")
			assert.Zero(t, h.weights[0][0])
			h.now = 50000
			h.step(restarted(h.now))
			assert.False(t, h.excluded[0])
			assert.Less(t, h.share(0, 0), 0.05, "back as one that warms up")
		})
	}
	h := newHarness(t, nil)
	h.step(EndpointUpdate{Mode: Snapshot, Entries: []Entry{{Endpoint: 1, Zone: 0, Weight: 2}}})
	assert.True(t, h.excluded[0] && h.excluded[5] && !h.excluded[1], "what a snapshot leaves out is gone")
}

// TestWarmingEndpointsAreAdmittedLast guards endpoints that warm up after they were excluded (rule 4): admitted at
// once, they got the whole share of the standing lines of proxies without an assigned table (zone+mass of seed 2: 3.5
// times what one could do).
func TestWarmingEndpointsAreAdmittedLast(t *testing.T) {
	for name, c := range map[string]struct {
		age        float64
		proxyWaits bool // a proxy has yet to get its table
		admitted   bool
	}{
		"warming up, standing lines":  {1, true, false},
		"warming up, all have tables": {1, false, true},
		"warm":                        {20000, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.now = 50000
			h.step()
			window := &h.planner.publisher.window
			fillChannel := func() { // no room for a table
				window.queued = 1400
				window.delivered = window.written
			}
			fillChannel()
			gone := Entry{Endpoint: 0, Zone: 0, Weight: 2, Phase: Gone}
			h.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20}, EndpointUpdate{Entries: []Entry{gone}})
			h.now += 1000
			fillChannel()
			require.Contains(t, h.step(TimerFired{assignmentTimer}), SetExcluded{0, true}, "halfway through the grace")
			h.now += 100
			fillChannel()
			if !c.proxyWaits {
				window.queued = 0
			}
			h.step()
			fillChannel()
			commands := h.step(restarted(h.now - c.age))
			assert.Equal(t, c.admitted, slices.Contains(commands, Command(SetExcluded{0, false})))
			window.queued = 0
			h.rounds(2, nil)
			assert.False(t, h.excluded[0], "it is admitted in the end")
		})
	}
}
