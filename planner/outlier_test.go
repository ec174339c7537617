package planner

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSilentZoneIsEjected guards against routing requests to a zone whose endpoints all hang at once. No endpoint fails
// more than the others of its zone and none reports its load, so that requests would be routed to them until the
// endpoint list changes.
func TestSilentZoneIsEjected(t *testing.T) {
	h := newHarness(t, nil)
	h.rounds(6, steady(0, 3, 0, 0.3, 0, 1))
	h.rounds(8, together(steady(0, 0, 9, -1, 0, 1), steady(1, 20, 0, 0.3, 2, 3, 4, 5)))
	assert.Contains(t, strings.Join(h.logs, "\n"), "endpoint 0 zone 0: out, good 0.")
	assert.Greater(t, h.share(0, 2, 3, 4, 5), 0.7)
}

func TestNewSpilloverTargetIsNotEjected(t *testing.T) {
	h := newHarness(t, nil)
	h.rounds(8, steady(0, 40, 0, 0.3, 0, 1))
	h.rounds(3, steady(0, 40, 0, 1.3, 0, 1))
	h.rounds(3, together(steady(0, 40, 0, 1.3, 0, 1), steady(0, 10, 0, 0.2, 2, 3)))
	assert.Greater(t, h.share(0, 2, 3), 0.1)
	for _, l := range h.logs {
		assert.NotContains(t, l, "endpoint 2 zone 0: out")
	}
}

func TestEjection(t *testing.T) {
	others := []int{1, 2, 3, 4, 5}
	for name, c := range map[string]struct {
		events  func() []Event
		ejected bool
	}{
		"fails fast":            {together(steady(0, 3, 9, 0.3, 0), steady(0, 10, 0, 0.3, others...)), true},
		"answers nothing":       {together(steady(0, 0, 9, -1, 0), steady(0, 10, 0, 0.3, others...)), true},
		"its zone is lost":      {together(steady(0, 0, 9, -1, 0, 1), steady(0, 10, 0, 0.3, 2, 3, 4, 5)), true},
		"fails when overloaded": {together(steady(0, 3, 9, 1, 0), steady(0, 10, 0, 0.3, others...)), false},
		"all fail alike":        {steady(0, 4, 8, 0.3, 0, 1, 2, 3, 4, 5), false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.rounds(6, steady(0, 20, 0, 0.3, 0, 1, 2, 3, 4, 5))
			h.rounds(4, c.events)
			isEjection := func(log string) bool { return strings.HasPrefix(log, "endpoint 0 zone 0: out") }
			assert.Equal(t, c.ejected, slices.ContainsFunc(h.logs, isEjection), h.logs)
			assert.Greater(t, h.weights[1][2], 0.0, "the other zone's table depends on its own proxies' observations")
		})
	}
}

func TestEjectionBackoff(t *testing.T) {
	h := newHarness(t, nil)
	failing := together(steady(0, 0, 10, 0.3, 0), steady(0, 10, 0, 0.3, 1, 2, 3))
	ejected := 0
	h.rounds(30, func() []Event {
		if h.weights[0][0] == 0 {
			ejected++
			return attempts(0, 10, 0, 0.3, 1, 2, 3)
		}
		assert.True(t, ejected == 0 || h.share(0, 0) < 0.2, "an endpoint on trial has a small share")
		return failing()
	})
	assert.Greater(t, ejected, 15)
	h.rounds(30, func() []Event {
		return append(attempts(0, 20, 0, 0.6*h.share(0, 0), 0), attempts(0, 20, 0, 0.3, 1, 2, 3)...)
	})
	assert.InDelta(t, 0.5, h.share(0, 0), 0.15, "the endpoint returns to its full share once it answers")
}

func TestTableKeepsWeightWhenAllAreEjected(t *testing.T) {
	h := newHarness(t, nil)
	h.rounds(6, steady(0, 20, 0, 0.3, 0, 1, 2, 3, 4, 5))
	h.rounds(20, steady(0, 0, 20, -1, 0, 1, 2, 3, 4, 5))
	sum := 0.0
	for _, w := range h.weights[0] {
		sum += w
	}
	assert.Greater(t, sum, 0.1)
}

// TestRestartedZoneForgetsFailures guards against counting failures from before a restart. After all endpoints of a
// zone had restarted, earlier failures and stats whose span began before the restart kept the endpoints without
// requests for ten seconds while they warmed up (live run of scenario wide+reset+stale, seed 993204896464).
func TestRestartedZoneForgetsFailures(t *testing.T) {
	for name, c := range map[string]struct {
		spanMs                         float64 // span of the stats that arrive after the restart
		minFailureRate, maxFailureRate float64 // bounds of the zone's failure rate
		minShare                       float64
	}{"span begins before the restart": {6000, 0, 0.05, 0.02}, "span begins after it": {500, 0.9, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["ejects_after"] = 5.0
				settings["fall_multiple"] = 2.5
			})
			h.rounds(8, steady(0, 20, 0, 0.3, 0, 1))
			h.rounds(3, steady(0, 0, 20, -1, 0, 1))
			require.Greater(t, h.planner.regions[0].failureRate, 0.5)
			var restarted []Entry
			for i := range 2 {
				restarted = append(restarted, Entry{Endpoint: i, Zone: 0, Weight: 2, Started: h.now - 1000})
			}
			h.step(EndpointUpdate{Mode: Delta, Entries: restarted})
			h.rounds(4, func() []Event {
				events := attempts(0, 0, 20, 0.3, 0, 1)
				for i, event := range events {
					stats, _ := event.(EndpointStats)
					stats.SpanMs = c.spanMs
					events[i] = stats
				}
				return events
			})
			assert.GreaterOrEqual(t, h.planner.regions[0].failureRate, c.minFailureRate)
			assert.LessOrEqual(t, h.planner.regions[0].failureRate, c.maxFailureRate)
			assert.GreaterOrEqual(t, h.share(0, 0, 1), c.minShare)
		})
	}
}

// TestFirstStatsCount guards against dropping the first stats that a controller receives. Their span begins before time
// 0 of the controller's clock, so that endpoints with start time 0 (long ago) seemed to have started within it.
func TestFirstStatsCount(t *testing.T) {
	for name, c := range map[string]struct{ started, failureRate float64 }{"started long ago": {0, 1}, "started within the span": {-100, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(_ map[string]any, entries []Entry) {
				for i := range entries {
					entries[i].Started = c.started
				}
			})
			h.now = 300
			h.step(append(attempts(0, 0, 20, 0.3, 0, 1), TimerFired{roundTimer})...)
			assert.InDelta(t, c.failureRate, h.planner.regions[0].failureRate, 1e-9)
		})
	}
}
