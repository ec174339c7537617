package planner

// This file solves a region's local problem (paper, equations 6 and 7): which share of its requests goes to which
// endpoint. It is a projected gradient descent over the capped simplex: shares that sum to 1, each between 0 and its
// limit. It starts from the listed weights and is short on purpose: shares move towards lower costs instead of all
// going to the cheapest endpoint, since costs within a zone are alike and penalties are noisy.

import "math"

const (
	// gradientLength is the total length of the descent, divided by the home zone's fraction of the weight, so that
	// spillover begins at the same mean penalty whatever the zone's size.
	gradientLength = 1.5

	gradientSteps   = 24
	projectionSteps = 12  // enough to spread the rest: each step reaches a limit or is exact
	minHomeFraction = 0.1 // least fraction of the home zone, to bound the length of a step
)

// The rings on which shares are laid out for subsets (subset.go): of the region's own endpoints, and of others.
const (
	homeRing = iota
	spillRing
)

// allocation is an endpoint's share of a region's requests of a class group.
type allocation struct {
	endpoint int
	ring     int     // homeRing or spillRing
	weight   float64 // share by listed weight, where the descent starts; 0: not to be used
	cost     float64 // of a request
	limit    float64 // upper bound of the share
	share    float64 // result
}

// allocations returns the endpoints for a class group as the descent starts.
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
			a.weight = r.remainingWeight(group, c)
			a.cost = costs.byZone[c.Zone] + ownPenaltyWeight*c.penalty
			a.limit = 1
			totals.add(&a, c)
		}
		allocations = append(allocations, a)
	}
	meanZone := totals.weight / float64(len(r.planner.regions))
	// The last endpoint of a zone cannot serve all its requests.
	totals.homeWeight = math.Max(totals.homeWeight, meanZone)
	r.limitShares(allocations, totals, r.slowStartLimits(totals, costs.load))
	return allocations
}

// solveShares moves shares down the gradient of the cost. Each moves in proportion to its weight, so that endpoints
// of the same cost keep their ratio.
func solveShares(allocations []allocation, homeFraction float64) {
	projectShares(allocations)
	for range gradientSteps {
		mean := 0.0
		for i := range allocations {
			mean += allocations[i].share * allocations[i].cost
		}
		for i := range allocations {
			a := &allocations[i]
			a.share -= gradientLength / max(homeFraction, minHomeFraction) / gradientSteps * a.weight * (a.cost - mean)
		}
		projectShares(allocations)
	}
}

// projectShares projects shares onto the capped simplex. An excess or a rest is spread by weight over the shares that
// can still move; if none can, all are scaled, beyond their limits.
func projectShares(allocations []allocation) {
	for range projectionSteps {
		residual := clampShares(allocations)
		movable := movableWeight(allocations, residual)
		for i := range allocations {
			a := &allocations[i]
			if movable == 0 {
				a.share /= max(1-residual, 1e-9)
			} else {
				a.share += residual * a.weight / max(movable, 1e-9)
			}
		}
	}
}

// clampShares clamps each share to between 0 and its limit, and returns the difference between 1 and their sum.
func clampShares(allocations []allocation) (residual float64) {
	residual = 1
	for i := range allocations {
		a := &allocations[i]
		a.share = max(0, min(a.limit, a.share))
		residual -= a.share
	}
	return residual
}

// movableWeight returns the weight of the shares that can move in the direction of the rest.
func movableWeight(allocations []allocation, residual float64) float64 {
	movable := 0.0
	for i := range allocations {
		a := &allocations[i]
		if residual > 0 && a.share < a.limit || residual < 0 && a.share > 0 {
			movable += a.weight
		}
	}
	return movable
}
