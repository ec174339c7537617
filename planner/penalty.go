package planner

// This file updates the penalty of an endpoint. The penalty is the dual variable lambda of the endpoint's capacity
// constraint in the ACCO algorithm ("A Distributed Hybrid Load Management Model for Anycast CDNs", algorithm 1, line
// 12):
//
//	lambda = max(0, lambda + theta*(B^2 - T^2))
//
// B is the load that the endpoint reports, which includes the requests routed by all controllers. T is the target load.

import (
	"maps"
	"math"
	"slices"
)

const (
	// penaltyGain is theta, the step size per round.
	penaltyGain = 0.25

	// maxPenalty is the upper bound of lambda. A penalty higher than the cost of any zone has no additional effect, but
	// takes longer to decrease.
	maxPenalty = 1.1

	// maxPenalizedLoad is the upper bound of B, so that a single report of a long queue does not raise the penalty to
	// maxPenalty.
	maxPenalizedLoad = 1.5

	// reportDelayRounds is the number of rounds until a change of the tables has an effect on load reports.
	reportDelayRounds = 3

	// Bounds of the factor that corrects a load report for later plan changes. Plans are not accurate enough to justify
	// a larger correction.
	minReportCorrection = 0.25
	maxReportCorrection = 4.0
)

// stepPenalty updates the penalty for one round. A fresh load is corrected for plans that changed since it was
// reported. The history of plans advances in each call, even if the load is not fresh.
func (e *endpoint) stepPenalty(load float64, fresh bool) {
	correction := e.reportCorrection()
	load = math.Min(maxPenalizedLoad, load)
	if fresh {
		load *= correction
	}
	target := e.planner.targetLoad
	penalty := e.penalty + e.penaltyStep()*(load*load-target*target)
	e.penalty = math.Max(0, math.Min(maxPenalty, penalty))
}

// penaltyStep returns theta, multiplied by the fraction of the demand that this planner sees and by the number of load
// reports per round (at most 1). Without the latter, a report would count again in each round until the next report.
func (e *endpoint) penaltyStep() float64 {
	return penaltyGain * e.planner.demandFraction() * math.Min(1, roundMs/math.Max(e.load.interval, 1))
}

// reportCorrection returns the factor that corrects a load report for plans that have changed since it was made: the
// ratio of the endpoint's currently planned load to its planned load at the time of the report, both at the present
// baseline demand. Without the correction, a penalty would keep rising after requests have been moved away from the
// endpoint, and would oscillate. The correction is scaled by the fraction of the demand that this planner sees. The
// method also advances the history of plans.
func (e *endpoint) reportCorrection() float64 {
	p := e.planner
	loadAtReport, currentLoad := 0.0, 0.0
	for _, plan := range e.plans.planNumbers() {
		zone := p.zoneOfPlan(plan)
		baselineRate := p.demand.rateByZone[zone] / p.demand.surge(zone)
		loadAtReport += baselineRate * e.plans.reportedShare(plan)
		currentLoad += baselineRate * e.plans.currentShare(plan)
	}
	e.plans.advance()
	correction := 1.0
	if loadAtReport > 0 {
		ratio := currentLoad / math.Max(loadAtReport, 1e-9)
		bounded := math.Max(minReportCorrection, math.Min(maxReportCorrection, ratio))
		correction = 1 + p.demandFraction()*(bounded-1)
	}
	return correction
}

// planHistory holds an endpoint's shares in the regions' plans, by round and plan number. Index 0 is the current round;
// higher indices are earlier rounds, back to the one whose plans the latest load reports reflect.
type planHistory []map[int]float64

// newPlanHistory returns a history without plans.
func newPlanHistory() planHistory {
	history := make(planHistory, reportDelayRounds+2)
	history[0] = map[int]float64{}
	return history
}

// set stores the endpoint's share in a current plan.
func (h planHistory) set(plan int, share float64) { h[0][plan] = share }

// planNumbers returns the numbers of the plans for which a share has been set, in ascending order.
func (h planHistory) planNumbers() []int { return slices.Sorted(maps.Keys(h[0])) }

// currentShare returns the endpoint's share in the current version of a plan.
func (h planHistory) currentShare(plan int) float64 { return h[0][plan] }

// reportedShare returns the endpoint's share in the version of a plan that the latest load reports reflect.
func (h planHistory) reportedShare(plan int) float64 { return h[reportDelayRounds+1][plan] }

// advance starts a new round with the same plans and drops the oldest one.
func (h planHistory) advance() {
	copy(h[1:], h[:len(h)-1])
	h[0] = maps.Clone(h[1])
}

// planNumber returns the number of the plan of a zone's region for a class group.
func (p *Planner) planNumber(zone, group int) int { return zone*len(p.groups) + group }

// zoneOfPlan returns the zone that a plan, given by its number, is for.
func (p *Planner) zoneOfPlan(plan int) int { return plan / len(p.groups) }
