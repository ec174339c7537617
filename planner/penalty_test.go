package planner

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPenaltyRisesAboveTargetAndComesDown(t *testing.T) {
	h := newHarness(t, nil)
	h.rounds(6, steady(0, 10, 0, 1, 0))
	high := h.planner.endpoints[0].penalty
	assert.Greater(t, high, penaltyGain*0.5)
	assert.LessOrEqual(t, high, maxPenalty)
	h.rounds(12, steady(0, 10, 0, 0.2, 0))
	assert.Zero(t, h.planner.endpoints[0].penalty)
	assert.Zero(t, h.planner.endpoints[5].penalty, "the penalty stays 0 without reports")
}

// TestPenaltyStepsOncePerReport guards against counting a load report in several rounds. If reports arrived only every
// few rounds, each was counted in every round until the next, and shares oscillated (deployment jadran-docs with 150
// and 240 proxies).
func TestPenaltyStepsOncePerReport(t *testing.T) {
	for name, c := range map[string]struct {
		interval int // rounds between reports
	}{"every round": {1}, "every fourth": {4}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			round := 0
			h.rounds(80, func() []Event {
				round++
				if round%c.interval == 0 {
					return attempts(0, 20, 0, 0.72, 0)
				}
				return nil
			})
			e := h.planner.endpoints[0]
			assert.InDelta(t, float64(c.interval)*roundMs, math.Max(e.load.interval, roundMs), 0.3*roundMs)
			step := penaltyGain * h.planner.demandFraction() / float64(c.interval)
			assert.InDelta(t, step, e.penaltyStep(), 0.3*step)
		})
	}
}

// TestTakenOverProxiesAddNoLoad guards against counting the demand of proxies taken over from another controller as
// additional load of the endpoints that already served it. The report correction did so: penalties rose to their upper
// bound, and zones spilled over into each other for 15 s (live run of scenario wide+reset+stale, seed 993204896464).
func TestTakenOverProxiesAddNoLoad(t *testing.T) {
	for name, c := range map[string]struct {
		util               float64
		minShare, maxShare float64 // share of the zone's own endpoints in its table
	}{"endpoints can serve them": {0.6, 1, 1}, "endpoints are overloaded": {1, 0.1, 0.9}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["by_zone"] = true
				settings["proxy_count"] = 40.0
			})
			h.rounds(10, steady(0, 20, 0, 0.6, 0, 1))
			h.join(2, 40, 2, 0.5)
			h.rounds(6, together(steady(2, 20, 0, c.util, 4, 5), steady(0, 20, 0, 0.6, 0, 1)))
			assert.GreaterOrEqual(t, h.share(2, 4, 5), c.minShare-1e-9)
			assert.LessOrEqual(t, h.share(2, 4, 5), c.maxShare+1e-9)
		})
	}
}

// TestPlanHistoryAdvancesWithoutReports checks that the history of plans advances in each timed round, even without a
// fresh report. Otherwise the next report would be compared with plans of the wrong time.
func TestPlanHistoryAdvancesWithoutReports(t *testing.T) {
	h := newHarness(t, nil)
	e := h.planner.endpoint(0)
	e.plans.set(0, 0.5)
	for range reportDelayRounds + 1 {
		assert.Zero(t, e.plans.reportedShare(0))
		e.stepPenalty(0.3, false)
	}
	assert.Equal(t, 0.5, e.plans.reportedShare(0))
	assert.Equal(t, 0.5, e.plans.currentShare(0), "the current plan does not change")
}
