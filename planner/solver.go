package planner

// This file solves a region's local problem (paper, equations 6 and 7): which share of its requests goes to which
// endpoint. It is a projected gradient descent from the listed weights over the shares that sum to 1 and keep to their
// limits, the capped simplex. The descent is short on purpose: shares move towards what costs less instead of all going
// to the cheapest endpoint, as costs are alike in a zone and penalties are noisy.

import "math"

const (
	// gradientLength is how far the descent goes in all, in units of the home zone's part of the weight: spillover
	// begins at the same mean penalty, whatever the zone's size.
	gradientLength = 1.5

	gradientSteps   = 24
	projectionSteps = 12  // enough for the rest to be spread, as each step exhausts a limit or is exact
	minHomePart     = 0.1 // bounds the length of a step where the home zone is small
)

// The rings on which shares are laid out over subsets (subset.go): the region's own endpoints, and those of other
// zones.
const (
	homeRing = iota
	spillRing
)

// allocation is what an endpoint gets of the requests of a class group in a region.
type allocation struct {
	endpoint int
	ring     int     // homeRing or spillRing
	weight   float64 // where the descent begins: the listed share; 0: not to be used
	cost     float64 // of a request
	limit    float64 // of the share
	share    float64 // the result
}

// allocations lists the endpoints for a class group, with what begins the descent.
func (r *region) allocations(group int, indices []int, costs zoneCosts) []allocation {
	totals := candidateTotals{weight: 1e-9, homeWeight: 1e-9, warmingWeight: 1e-9}
	allocations := make([]allocation, 0, len(indices))
	for _, i := range indices {
		c := r.candidates[i]
		a := allocation{endpoint: i, ring: spillRing}
		if c.Zone == r.zone {
			a.ring = homeRing
		}
		if c.Phase == Ready && r.planner.groups[group].mayUse(r.zone, c) {
			a.weight = r.weightFor(group, c)
			a.cost = costs.byZone[c.Zone] + ownPenaltyPart*c.penalty
			a.limit = 1
			totals.add(&a, c)
		}
		allocations = append(allocations, a)
	}
	meanZone := totals.weight / float64(len(r.planner.regions))
	totals.homeWeight = math.Max(totals.homeWeight, meanZone) // the last endpoint of a zone can't do the work of all
	r.limitShares(allocations, totals, r.planSlowStart(totals, costs.load))
	return allocations
}

// solveShares moves shares down the gradient of their cost. Each goes by its weight, so that endpoints of the same cost
// keep their proportion.
func solveShares(allocations []allocation, homePart float64) {
	projectShares(allocations)
	for range gradientSteps {
		mean := 0.0
		for i := range allocations {
			mean += allocations[i].share * allocations[i].cost
		}
		for i := range allocations {
			a := &allocations[i]
			a.share -= gradientLength / max(homePart, minHomePart) / gradientSteps * a.weight * (a.cost - mean)
		}
		projectShares(allocations)
	}
}

// projectShares brings shares back to the capped simplex: within 0 and their limits, with a sum of 1. What is over or
// missing is spread by weight over the shares that can still move; if none can, all are scaled, beyond their limits.
func projectShares(allocations []allocation) {
	for range projectionSteps {
		rest := clampShares(allocations)
		movable := movableWeight(allocations, rest)
		for i := range allocations {
			a := &allocations[i]
			if movable == 0 {
				a.share /= max(1-rest, 1e-9)
			} else {
				a.share += rest * a.weight / max(movable, 1e-9)
			}
		}
	}
}

// clampShares brings each share within 0 and its limit, and returns what is then missing of 1; below 0: what is over.
func clampShares(allocations []allocation) (rest float64) {
	rest = 1
	for i := range allocations {
		a := &allocations[i]
		a.share = max(0, min(a.limit, a.share))
		rest -= a.share
	}
	return rest
}

// movableWeight returns the weight of the shares that can take some of the rest.
func movableWeight(allocations []allocation, rest float64) float64 {
	movable := 0.0
	for i := range allocations {
		a := &allocations[i]
		if rest > 0 && a.share < a.limit || rest < 0 && a.share > 0 {
			movable += a.weight
		}
	}
	return movable
}
