package planner

// This file solves the local problem of a region (equations 6 and 7 of the ACCO paper): which share of its requests is
// routed to which endpoint. The method is projected gradient descent over the capped simplex, the set of shares that
// sum to 1 and lie between 0 and a limit each. The descent starts from the listed weights and is short on purpose:
// shares move towards lower costs instead of all going to the cheapest endpoint, since costs within a zone differ
// little and penalties are noisy.

import "math"

const (
	// gradientLength is the total step size of the descent. It is divided by the home zone's fraction of the weight, so
	// that spillover to other zones begins at the same mean penalty for zones of any size.
	gradientLength = 1.5

	gradientSteps   = 24  // number of steps of the descent
	projectionSteps = 12  // iterations of a projection; each iteration either reaches a limit or is exact
	minHomeFraction = 0.1 // lower bound of the home zone's fraction as a divisor, which bounds the step size
)

// The rings on which shares are laid out for the proxy subsets (see subset.go): homeRing for endpoints of the region's
// own zone, spillRing for endpoints of other zones.
const (
	homeRing = iota
	spillRing
)

// allocation is an endpoint's share of a region's requests of a class group.
type allocation struct {
	endpoint int
	ring     int     // homeRing or spillRing
	weight   float64 // weight of the endpoint, normalized by limitShares; 0 if it is not to be used
	cost     float64 // cost of a request: zone cost plus penalty
	limit    float64 // upper bound of the share
	share    float64 // fraction of the requests, the result of the descent
}

// allocations returns an allocation for each candidate as the descent starts. Endpoints that are not ready or may not
// serve the class group have weight 0.
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
	// With this lower bound, the last remaining endpoint of a zone is not planned for all requests of the zone.
	totals.homeWeight = math.Max(totals.homeWeight, meanZone)
	r.limitShares(allocations, totals, r.slowStartLimits(totals, costs.load))
	return allocations
}

// solveShares moves the shares along the negative gradient of the cost. Each share moves in proportion to its weight,
// so that endpoints of the same cost keep their ratio. The parameter homeFraction is the home zone's fraction of the
// weight.
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

// projectShares projects shares onto the capped simplex. The difference between 1 and the sum of the shares is
// distributed, in proportion to the weights, over the shares that can still change. If none can, all shares are scaled,
// even beyond their limits.
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

// clampShares limits each share to the range from 0 to its limit and returns the difference between 1 and their sum.
func clampShares(allocations []allocation) (residual float64) {
	residual = 1
	for i := range allocations {
		a := &allocations[i]
		a.share = max(0, min(a.limit, a.share))
		residual -= a.share
	}
	return residual
}

// movableWeight returns the total weight of the shares that can still change in the direction of the residual: those
// below their limit if it is positive, those above 0 if it is negative.
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
