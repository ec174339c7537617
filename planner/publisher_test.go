package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOnlyDifferencesAreSent(t *testing.T) {
	h := newHarness(t, nil)
	steady := steady(0, 10, 0, 0.4, 0, 1)
	h.rounds(8, steady)
	for range 5 {
		h.rounds(1, steady)
		assert.Zero(t, h.messages)
	}
	for proxy, assignments := range h.assigned {
		assert.Len(t, assignments, 1, "the proxies of a zone share one table, proxy %d", proxy)
	}
}

func TestBacklogStaysShort(t *testing.T) {
	h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["lines_per_s"] = 20.0 })
	h.join(2, 30, 0, 1)
	sent := 0
	for w := range 20 {
		h.rounds(1, func() []Event { return append(attempts(0, 5, 0, float64(w%2), 0), attempts(0, 5, 0, 0.5, 1, 2, 3)...) })
		sent += h.written * 30
	}
	assert.Less(t, sent, 1500, "deferrable lines are held back while the channel is full")
}

// TestRestartedEndpointIsCutAtOnce guards against overload of endpoints that restart while a pilot has far more proxies
// than its channel can update in time: their lines kept the old weight until the channel had room, and the endpoints
// failed (scenario wide+reset+stale, seed 993204896464).
func TestRestartedEndpointIsCutAtOnce(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	h := newHarness(t, func(settings map[string]any, _ []Entry) {
		settings["ejects_after"] = 5.0
		settings["fall_multiple"] = 2.5
		settings["backlog"] = 600.0
	})
	h.join(2, 80, 0, 1)
	h.rounds(60, steady(0, 20, 0, 0.8, all...))
	require.Greater(t, len(h.assigned), 70)
	before := h.weights[0][0]
	require.Positive(t, before)
	h.step(restarted(h.now - 1000))
	assert.Less(t, h.weights[0][0], before/2)
}
