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
			p := newHarness(t, nil)
			first := p.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Phase: phase}}})
			require.NotEmpty(t, first)
			assert.Contains(t, first, SetExcluded{0, true}, "drains come first, at once")
			assert.Zero(t, p.weights[0][0])
			p.now = 50000
			p.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Started: p.now}}})
			assert.False(t, p.excluded[0])
			assert.Less(t, p.share(0, 0), 0.05, "back as a cold one")
		})
	}
	p := newHarness(t, nil)
	p.step(EndpointUpdate{Mode: Snapshot, Entries: []Entry{{Endpoint: 1, Zone: 0, Weight: 2}}})
	assert.True(t, p.excluded[0] && p.excluded[5] && !p.excluded[1], "what a whole list leaves out is gone")
}

// TestWarmingEndpointsAreAdmittedLast guards cold endpoints that come back after they were withdrawn (rule 4): let in at once, they got
// the whole share of the lines that proxies without a table stood with (zone+mass of seed 2: 3.5 times what one could do).
func TestWarmingEndpointsAreAdmittedLast(t *testing.T) {
	for name, c := range map[string]struct {
		age    float64
		waits  bool // a proxy has yet to get its table
		letsIn bool
	}{"cold, standing lines": {1, true, false}, "cold, all have tables": {1, false, true}, "warm": {20000, true, true}} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, nil)
			p.now = 50000
			p.step()
			full := func() {
				p.planner.publisher.window.queued, p.planner.publisher.window.delivered = 1400, p.planner.publisher.window.written
			} // no room for a table
			full()
			p.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20}, EndpointUpdate{Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Phase: Gone}}})
			p.now += 1000
			full()
			require.Contains(t, p.step(TimerFired{"bind"}), SetExcluded{0, true}, "halfway through the grace")
			p.now += 100
			if full(); !c.waits {
				p.planner.publisher.window.queued = 0
			}
			p.step()
			full()
			orders := p.step(EndpointUpdate{Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Started: p.now - c.age}}})
			assert.Equal(t, c.letsIn, slices.Contains(orders, Command(SetExcluded{0, false})))
			p.planner.publisher.window.queued = 0
			p.rounds(2, nil)
			assert.False(t, p.excluded[0], "it is let in in the end")
		})
	}
}
