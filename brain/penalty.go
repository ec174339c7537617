package brain

// This file steps an endpoint's penalty, the dual variable lambda of its load limit in the ACCO algorithm
// ("A Distributed Hybrid Load Management Model for Anycast CDNs", algorithm 1, line 12):
//
//	lambda = max(0, lambda + theta*(B^2 - T^2))
//
// B is the load that the endpoint reports, so it counts the requests of all controllers; T is the target load.

import (
	"maps"
	"math"
	"slices"
)

// reportCorrection scales a load report by what the tables changed since, at today's demand, or penalties swing.
func (e *endpoint) reportCorrection() float64 {
	then, now := 0.0, 0.0
	for _, t := range slices.Sorted(maps.Keys(e.plans[0])) {
		d := e.planner.demand.rates[t/len(e.planner.groups)] / e.planner.demand.surge(t/len(e.planner.groups))
		then, now = then+d*e.plans[reportDelayRounds+1][t], now+d*e.plans[0][t]
	}
	e.plans = slices.Insert(e.plans[:reportDelayRounds+1], 0, maps.Clone(e.plans[0]))
	return pick(then > 0, 1+e.planner.demandSeen()*(math.Max(0.25, math.Min(4, now/math.Max(then, 1e-9)))-1), 1)
}

func (e *endpoint) penaltyStep() float64 {
	return penaltyGain * e.planner.demandSeen() * math.Min(1, roundMs/math.Max(e.interval, 1)) // one looked at often counts once
}
