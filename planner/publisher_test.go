package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOnlyDifferencesAreSent(t *testing.T) {
	p := newHarness(t, nil)
	steady := func() []Event { return attempts(0, 10, 0, 0.4, 0, 1) }
	p.rounds(8, steady)
	for range 5 {
		p.rounds(1, steady)
		assert.Zero(t, p.messages)
	}
	for proxy, binds := range p.assigned {
		assert.Len(t, binds, 1, "one shared table for each zone, proxy %d", proxy)
	}
}

func TestBacklogStaysShort(t *testing.T) {
	p := newHarness(t, func(terms map[string]any, _ []Entry) { terms["lines_per_s"] = 20.0 })
	for i := 2; i < 30; i++ {
		p.step(ProxyJoined{Proxy: i, Zone: 0, Rate: 1})
	}
	sent := 0
	for w := range 20 {
		p.rounds(1, func() []Event { return append(attempts(0, 5, 0, float64(w%2), 0), attempts(0, 5, 0, 0.5, 1, 2, 3)...) })
		sent += p.written * 30
	}
	assert.Less(t, sent, 1500, "what can wait waits while the channel is full")
}

// TestRestartedEndpointIsCutAtOnce guards endpoints that start again while a pilot has far more proxies than its channel
// serves: their lines stood with the old weight until there was room, and they fell over (wide+reset+stale, seed
// 993204896464).
func TestRestartedEndpointIsCutAtOnce(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	p := newHarness(t, func(terms map[string]any, _ []Entry) {
		terms["ejects_after"], terms["fall_multiple"], terms["backlog"] = 5.0, 2.5, 600.0
	})
	for i := 2; i < 80; i++ {
		p.step(ProxyJoined{Proxy: i, Zone: 0, Rate: 1})
	}
	p.rounds(60, func() []Event { return attempts(0, 20, 0, 0.8, all...) })
	require.Greater(t, len(p.assigned), 70)
	before := p.weights[0][0]
	require.Positive(t, before)
	p.step(EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Started: p.now - 1000}}})
	assert.Less(t, p.weights[0][0], before/2)
}
