package planner

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPenaltyRisesAboveTargetAndComesDown(t *testing.T) {
	p := newHarness(t, nil)
	p.rounds(6, func() []Event { return attempts(0, 10, 0, 1, 0) })
	high := p.planner.endpoints[0].penalty
	assert.Greater(t, high, penaltyGain*0.5)
	assert.LessOrEqual(t, high, maxPenalty)
	p.rounds(12, func() []Event { return attempts(0, 10, 0, 0.2, 0) })
	assert.Zero(t, p.planner.endpoints[0].penalty)
	assert.Zero(t, p.planner.endpoints[5].penalty, "no reports: the penalty stays 0")
}

// TestPenaltyStepsOncePerReport guards zones whose reports come every few gathers: each was counted at every gather, and
// shares swung (copies of jadran-docs with 150 and 240 proxies).
func TestPenaltyStepsOncePerReport(t *testing.T) {
	for name, c := range map[string]struct {
		every int // gathers between reports
	}{"every gather": {1}, "every fourth": {4}} {
		t.Run(name, func(t *testing.T) {
			p, n := newHarness(t, nil), 0
			p.rounds(80, func() []Event {
				if n++; n%c.every == 0 {
					return attempts(0, 20, 0, 0.72, 0)
				}
				return nil
			})
			e := p.planner.endpoints[0]
			assert.InDelta(t, float64(c.every)*roundMs, math.Max(e.load.interval, roundMs), 0.3*roundMs)
			assert.InDelta(t, penaltyGain*p.planner.demandSeen()/float64(c.every), e.penaltyStep(), 0.3*penaltyGain*p.planner.demandSeen()/float64(c.every))
		})
	}
}

// TestTakenOverProxiesAreNoNewLoad guards pilots that take over others' proxies: hindsight took their demand for new load at
// endpoints that had it all along, penalties went to their bound at once, and zones spilt into each other for 15 s
// (wide+reset+stale live, seed 993204896464).
func TestTakenOverProxiesAreNoNewLoad(t *testing.T) {
	for name, c := range map[string]struct {
		util        float64
		least, most float64 // of the zone's table on its own endpoints
	}{"they are served": {0.6, 1, 1}, "they are too many": {1, 0.1, 0.9}} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, func(terms map[string]any, _ []Entry) { terms["by_zone"], terms["proxy_count"] = true, 40.0 })
			p.rounds(10, func() []Event { return attempts(0, 20, 0, 0.6, 0, 1) })
			for i := 2; i < 40; i++ {
				p.step(ProxyJoined{Proxy: i, Zone: 2, Rate: 0.5})
			}
			p.rounds(6, func() []Event { return append(attempts(2, 20, 0, c.util, 4, 5), attempts(0, 20, 0, 0.6, 0, 1)...) })
			assert.GreaterOrEqual(t, p.share(2, 4, 5), c.least-1e-9)
			assert.LessOrEqual(t, p.share(2, 4, 5), c.most+1e-9)
		})
	}
}
