package planner

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSilentZoneIsEjected guards a zone whose endpoints all hang at once: no try is answered and nobody reports, so that none fails more
// than the others, and its traffic would stay with them for as long as the list says nothing.
func TestSilentZoneIsEjected(t *testing.T) {
	p := newHarness(t, nil)
	p.rounds(6, func() []Event { return attempts(0, 3, 0, 0.3, 0, 1) })
	p.rounds(8, func() []Event { return append(attempts(0, 0, 9, -1, 0, 1), attempts(1, 20, 0, 0.3, 2, 3, 4, 5)...) })
	assert.Contains(t, strings.Join(p.logs, "\n"), "endpoint 0 zone 0: out, good 0.")
	assert.Greater(t, p.share(0, 2, 3, 4, 5), 0.7)
}

func TestNewSpilloverIsNotSilence(t *testing.T) {
	p := newHarness(t, nil)
	p.rounds(8, func() []Event { return attempts(0, 40, 0, 0.3, 0, 1) })
	p.rounds(3, func() []Event { return attempts(0, 40, 0, 1.3, 0, 1) })
	p.rounds(3, func() []Event { return append(attempts(0, 40, 0, 1.3, 0, 1), attempts(0, 10, 0, 0.2, 2, 3)...) })
	assert.Greater(t, p.share(0, 2, 3), 0.1)
	for _, l := range p.logs {
		assert.NotContains(t, l, "endpoint 2 zone 0: out")
	}
}

func TestEjection(t *testing.T) {
	others := []int{1, 2, 3, 4, 5}
	for name, c := range map[string]struct {
		notes func() []Event
		gone  bool
	}{
		"fails fast":      {func() []Event { return append(attempts(0, 3, 9, 0.3, 0), attempts(0, 10, 0, 0.3, others...)...) }, true},
		"answers nothing": {func() []Event { return append(attempts(0, 0, 9, -1, 0), attempts(0, 10, 0, 0.3, others...)...) }, true},
		"its zone is lost": {func() []Event {
			return append(attempts(0, 0, 9, -1, 0, 1), attempts(0, 10, 0, 0.3, 2, 3, 4, 5)...)
		}, true},
		"fails when overloaded": {func() []Event { return append(attempts(0, 3, 9, 1, 0), attempts(0, 10, 0, 0.3, others...)...) }, false},
		"all fail alike":        {func() []Event { return attempts(0, 4, 8, 0.3, 0, 1, 2, 3, 4, 5) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, nil)
			p.rounds(6, func() []Event { return attempts(0, 20, 0, 0.3, 0, 1, 2, 3, 4, 5) })
			p.rounds(4, c.notes)
			out := func(log string) bool { return strings.HasPrefix(log, "endpoint 0 zone 0: out") }
			assert.Equal(t, c.gone, slices.ContainsFunc(p.logs, out), p.logs)
			assert.Greater(t, p.weights[1][2], 0.0, "the other zone's table is judged by its own proxies")
		})
	}
}

func TestEjectionBackoff(t *testing.T) {
	p := newHarness(t, nil)
	sick := func() []Event { return append(attempts(0, 0, 10, 0.3, 0), attempts(0, 10, 0, 0.3, 1, 2, 3)...) }
	out := 0
	p.rounds(30, func() []Event {
		if p.weights[0][0] == 0 {
			out++
			return attempts(0, 10, 0, 0.3, 1, 2, 3)
		}
		assert.True(t, out == 0 || p.share(0, 0) < 0.2, "a trial is small")
		return sick()
	})
	assert.Greater(t, out, 15)
	p.rounds(30, func() []Event {
		return append(attempts(0, 20, 0, 0.6*p.share(0, 0), 0), attempts(0, 20, 0, 0.3, 1, 2, 3)...)
	})
	assert.InDelta(t, 0.5, p.share(0, 0), 0.15, "it returns once answers are good")
}

func TestTableStandsWhenAllAreEjected(t *testing.T) {
	p := newHarness(t, nil)
	p.rounds(6, func() []Event { return attempts(0, 20, 0, 0.3, 0, 1, 2, 3, 4, 5) })
	p.rounds(20, func() []Event { return attempts(0, 0, 20, -1, 0, 1, 2, 3, 4, 5) })
	sum := 0.0
	for _, w := range p.weights[0] {
		sum += w
	}
	assert.Greater(t, sum, 0.1)
}

// TestRestartedZoneForgetsFailures guards zones whose endpoints start again: sums that began before the start, and what was
// counted then, held their cold ones at nothing for ten seconds (wide+reset+stale live, seed 993204896464).
func TestRestartedZoneForgetsFailures(t *testing.T) {
	for name, c := range map[string]struct {
		spanMs       float64 // of the sums that come after the start
		least, most  float64 // of the zone's tries that fail
		shareAtLeast float64
	}{"sums of both lives": {6000, 0, 0.05, 0.02}, "sums of the new life": {500, 0.9, 1, 0}} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, func(terms map[string]any, _ []Entry) { terms["ejects_after"], terms["fall_multiple"] = 5.0, 2.5 })
			p.rounds(8, func() []Event { return attempts(0, 20, 0, 0.3, 0, 1) })
			p.rounds(3, func() []Event { return attempts(0, 0, 20, -1, 0, 1) })
			require.Greater(t, p.planner.regions[0].failureRate, 0.5)
			var again []Entry
			for i := range 2 {
				again = append(again, Entry{Endpoint: i, Zone: 0, Weight: 2, Started: p.now - 1000})
			}
			p.step(EndpointUpdate{Mode: Delta, Entries: again})
			p.rounds(4, func() []Event {
				notes := attempts(0, 0, 20, 0.3, 0, 1)
				for i, n := range notes {
					met, _ := n.(EndpointStats)
					met.SpanMs = c.spanMs
					notes[i] = met
				}
				return notes
			})
			assert.GreaterOrEqual(t, p.planner.regions[0].failureRate, c.least)
			assert.LessOrEqual(t, p.planner.regions[0].failureRate, c.most)
			assert.GreaterOrEqual(t, p.share(0, 0, 1), c.shareAtLeast)
		})
	}
}

// TestFirstStatsCount guards a pilot's first sums, whose span began before its clock: endpoints that started long ago had them
// dropped as if they had just started.
func TestFirstStatsCount(t *testing.T) {
	for name, c := range map[string]struct{ started, failing float64 }{"long ago": {0, 1}, "since the sum began": {-100, 0}} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, func(_ map[string]any, entries []Entry) {
				for i := range entries {
					entries[i].Started = c.started
				}
			})
			p.now = 300
			p.step(append(attempts(0, 0, 20, 0.3, 0, 1), TimerFired{"gather"})...)
			assert.InDelta(t, c.failing, p.planner.regions[0].failureRate, 1e-9)
		})
	}
}
