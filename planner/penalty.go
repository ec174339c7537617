package planner

// This file updates an endpoint's penalty, the dual variable lambda of its capacity constraint in the ACCO algorithm
// ("A Distributed Hybrid Load Management Model for Anycast CDNs", algorithm 1, line 12):
//
//	lambda = max(0, lambda + theta*(B^2 - T^2))
//
// B is the load that the endpoint reports, which includes the requests of all controllers; T is the target load.

import (
	"maps"
	"math"
	"slices"
)

const (
	// penaltyGain is theta, per round.
	penaltyGain = 0.25

	// maxPenalty bounds lambda. A penalty above the cost of every zone has no further effect, and would take longer
	// to fall.
	maxPenalty = 1.1

	// maxPenalizedLoad bounds B, so that one report of a long queue does not drive the penalty to its bound.
	maxPenalizedLoad = 1.5

	// reportDelayRounds is the number of rounds until a load report shows what a table changed.
	reportDelayRounds = 3

	// Bounds of the correction of a report for plans that changed since: plans are not exact enough for more.
	minReportCorrection = 0.25
	maxReportCorrection = 4.0
)

// stepPenalty takes one step of the penalty. The history of plans advances with each step, even if the latest report is
// stale.
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

// penaltyStep returns theta, scaled by the fraction of the demand that this planner sees, and by the reports per
// round, so that a report that is used in several rounds counts once.
func (e *endpoint) penaltyStep() float64 {
	return penaltyGain * e.planner.demandSeen() * math.Min(1, roundMs/math.Max(e.load.interval, 1))
}

// reportCorrection returns the factor that brings a load report up to date: the ratio of the endpoint's planned load
// now to that of the time of the report, at the present ordinary demand. Without it a penalty would go on rising
// after the plan has moved requests away, and would oscillate.
func (e *endpoint) reportCorrection() float64 {
	p := e.planner
	loadAtReport, currentLoad := 0.0, 0.0
	for _, plan := range e.plans.planNumbers() {
		zone := p.zoneOfPlan(plan)
		baselineRate := p.demand.rates[zone] / p.demand.surge(zone)
		loadAtReport += baselineRate * e.plans.reportedShare(plan)
		currentLoad += baselineRate * e.plans.currentShare(plan)
	}
	e.plans.advance()
	correction := 1.0
	if loadAtReport > 0 {
		ratio := currentLoad / math.Max(loadAtReport, 1e-9)
		bounded := math.Max(minReportCorrection, math.Min(maxReportCorrection, ratio))
		correction = 1 + p.demandSeen()*(bounded-1)
	}
	return correction
}

// planHistory keeps an endpoint's shares in the regions' plans, by plan number: first the present ones, then those of
// the rounds before, back to the plans under which the latest reports were made.
type planHistory []map[int]float64

// newPlanHistory returns an empty history.
func newPlanHistory() planHistory {
	history := make(planHistory, reportDelayRounds+2)
	history[0] = map[int]float64{}
	return history
}

// set notes the endpoint's share in a present plan.
func (h planHistory) set(plan int, share float64) { h[0][plan] = share }

// known returns the numbers of the plans that the endpoint has been in, in ascending order.
func (h planHistory) planNumbers() []int { return slices.Sorted(maps.Keys(h[0])) }

// present returns the endpoint's share in a present plan.
func (h planHistory) currentShare(plan int) float64 { return h[0][plan] }

// reported returns the endpoint's share in a plan when the latest reports were made.
func (h planHistory) reportedShare(plan int) float64 { return h[reportDelayRounds+1][plan] }

// advance starts a new round, which begins with the present plans.
func (h planHistory) advance() {
	copy(h[1:], h[:len(h)-1])
	h[0] = maps.Clone(h[1])
}

// planNumber returns the number of a region's plan for a class group.
func (p *Planner) planNumber(zone, group int) int { return zone*len(p.groups) + group }

// zoneOfPlan returns the zone of the region that a plan belongs to.
func (p *Planner) zoneOfPlan(plan int) int { return plan / len(p.groups) }
