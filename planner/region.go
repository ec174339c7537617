package planner

// This file holds the state of one region. In the ACCO paper, a region R(n) is the set of clients that a sub-controller
// plans for; here it is the proxies of one zone. In each round, a region solves its local problem (equation 6 of the
// paper) for each class group. It computes the costs of zones (zonecost.go), limits for endpoints that warm up
// (slowstart.go), shares (solver.go), their distribution over subsets of the proxies (subset.go) and admission levels
// (admission.go).

import (
	"maps"
	"math"
	"slices"
)

const (
	// latencyGain is the weight of the latest measurement in the moving average of a zone's latency.
	latencyGain = 0.125

	// minAttemptsDivisor is the lower bound of the number of attempts by which failures are divided, so that a few
	// failed attempts do not yield a high failure rate.
	minAttemptsDivisor = 8.0
)

// region is an actor that plans for the proxies of one zone. It holds the endpoints they may use, and their
// observations.
type region struct {
	mailbox mailbox[regionMessage]
	planner *Planner
	zone    int

	candidates  map[int]*candidate // latest candidates, by endpoint index
	latency     map[int]float64    // ms, moving average measured by the zone's proxies, by the endpoints' zone
	failureRate float64            // fraction of failed attempts of the zone's proxies

	shedFraction map[int]float64    // fraction of the requests to reject, by class group
	arcLengths   map[int][2]float64 // number of tables that each line is in, by class group and ring; see subset.go

	// The following fields are computed in each control round.
	groupWeight []float64 // total weight of the ready endpoints that may serve a class group, by group
	divergence  float64   // highest sum of planDivergence and shed fraction of any class group
}

// candidate is a snapshot of an endpoint's state for one region, taken in each control round.
type candidate struct {
	Entry
	weight         float64 // see effectiveWeight
	load           float64 // fraction of the capacity; the fleet's mean if unknown
	penalty        float64 // lambda in the ACCO paper
	warmUpFraction float64 // fraction of its capacity that is available; below 1 while the endpoint warms up
	healthFactor   float64 // fraction of its normal weight that its health allows; below 1 on trial, 0 if ejected
	attempts       float64 // attempts of the region's proxies, decayed
	failures       float64 // failed attempts of the region's proxies, decayed
}

// newRegion returns the region of a zone, without candidates.
func newRegion(p *Planner, zone int) *region {
	r := &region{
		planner: p, zone: zone, candidates: map[int]*candidate{}, latency: map[int]float64{},
		shedFraction: map[int]float64{}, arcLengths: map[int][2]float64{},
	}
	r.mailbox.receive = r.receive
	return r
}

// receive handles a message to the region.
func (r *region) receive(message regionMessage) {
	switch message := message.(type) {
	case EndpointStats:
		r.updateLatency(message)
	case *candidate:
		r.candidates[message.Endpoint] = message
	case roundStart:
		r.controlRound(message.timed)
	}
}

// updateLatency updates the average latency of the zone of an endpoint with the latency measured there.
func (r *region) updateLatency(stats EndpointStats) {
	c := r.candidates[stats.Endpoint]
	if c != nil && stats.MeanMs > 0 {
		mean := r.latency[c.Zone]
		gain := 1.0
		if mean > 0 {
			gain = latencyGain
		}
		r.latency[c.Zone] += (stats.MeanMs - mean) * gain
	}
}

// candidateIndices returns the indices of the candidate endpoints in ascending order.
func (r *region) candidateIndices() []int { return slices.Sorted(maps.Keys(r.candidates)) }

// controlRound computes a new plan for each class group. Only timed rounds (see roundStart) update the failure rate and
// the admission levels.
func (r *region) controlRound(timed bool) {
	indices := r.candidateIndices()
	if timed {
		r.updateFailureRate(indices)
	}
	r.updateGroupWeights(indices)
	r.divergence = 0
	for group := range r.planner.groups {
		r.planGroup(group, indices, timed)
	}
}

// updateFailureRate computes the fraction of failed attempts over all candidates.
func (r *region) updateFailureRate(indices []int) {
	attempts := 0.0
	failures := 0.0
	for _, i := range indices {
		attempts += r.candidates[i].attempts
		failures += r.candidates[i].failures
	}
	r.failureRate = failures / math.Max(minAttemptsDivisor, attempts)
}

// updateGroupWeights computes the total weight of the ready endpoints that may serve each class group.
func (r *region) updateGroupWeights(indices []int) {
	r.groupWeight = make([]float64, len(r.planner.groups))
	for _, i := range indices {
		c := r.candidates[i]
		for group := range r.planner.groups {
			if c.Phase == Ready && r.planner.groups[group].mayUse(r.zone, c) {
				r.groupWeight[group] += c.weight
			}
		}
	}
}

// planGroup computes the endpoints' shares of a class group's requests. It sends the shares to the endpoints and the
// resulting table lines to the publisher. Only timed rounds update the admission levels.
func (r *region) planGroup(group int, indices []int, timed bool) {
	costs := r.computeZoneCosts(group, indices)
	allocations := r.allocations(group, indices, costs)
	solveShares(allocations, costs.homeFraction)
	r.divergence = math.Max(r.divergence, r.planDivergence(group, allocations)+r.shedFraction[group])
	r.sendPlannedShares(group, allocations)
	r.assignSubsets(group, allocations)
	if timed {
		r.updateAdmission(group, r.plannedLoad(allocations))
	}
}

// sendPlannedShares informs the endpoints of their shares in a plan, multiplied by the zone's surge of demand. With
// these they correct load reports that were made under earlier plans.
func (r *region) sendPlannedShares(group int, allocations []allocation) {
	plan := r.planner.planNumber(r.zone, group)
	surge := r.planner.demand.surge(r.zone)
	for i := range allocations {
		a := &allocations[i]
		r.planner.endpoints[a.endpoint].mailbox.enqueue(plannedShare{plan, a.share * surge})
	}
}

// plannedLoad returns the mean load of the endpoints, weighted by their shares. Loads above 1 count as 1.
func (r *region) plannedLoad(allocations []allocation) float64 {
	load := 0.0
	for i := range allocations {
		a := &allocations[i]
		load += a.share * math.Min(1, r.candidates[a.endpoint].load)
	}
	return load
}
