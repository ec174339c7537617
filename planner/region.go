package planner

// This file holds the state of one region, the paper's set of clients that a sub-controller plans for (R(n)): here the
// proxies of one zone. A region solves its local problem (paper, equation 6) once in a round for each class group:
// costs of zones (zonecost.go), limits of endpoints that warm up (slowstart.go), shares (solver.go), their layout over
// subsets of the proxies (subset.go), and admission (admission.go).

import (
	"maps"
	"math"
	"slices"
)

const (
	// latencyGain is the weight of the latest latency of a zone in the moving average.
	latencyGain = 0.125

	// minAttemptsDivisor is the least divisor of the failure rate, so that a few failed attempts do not make it high.
	minAttemptsDivisor = 8.0
)

// region is an actor: it keeps the candidates for a zone's proxies and what these observe, and plans for them.
type region struct {
	mailbox mailbox[regionMessage]
	planner *Planner
	zone    int

	candidates  map[int]*candidate // by endpoint
	latency     map[int]float64    // ms, as measured by the zone's proxies, by the zone of the endpoints
	failureRate float64            // fraction of the attempts of the zone's proxies that fail

	shedFraction map[int]float64    // fraction of the requests to reject, by group
	arcLengths   map[int][2]float64 // tables that an endpoint is in, by group and ring; see subset.go

	// As of the latest plan.
	groupWeight []float64 // of the ready endpoints that each group may use
	divergence  float64   // see planDivergence
}

// candidate is an endpoint as a region sees it in a round.
type candidate struct {
	Entry
	weight         float64 // listed, corrected by the speed that reports show
	load           float64
	penalty        float64
	warmUpFraction float64 // fraction of its capacity that it has so soon after its start
	healthFactor   float64 // fraction of its normal weight that its health allows; 0: ejected
	attempts       float64 // of the zone's proxies, fading
	failures       float64 // of these
}

// newRegion returns the region of a zone.
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

// updateLatency updates the latency of an endpoint's zone.
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

// candidateIndices returns the endpoints that are offered, in ascending order.
func (r *region) candidateIndices() []int { return slices.Sorted(maps.Keys(r.candidates)) }

// controlRound plans again for each class group.
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

// updateFailureRate computes the fraction of the attempts that fail.
func (r *region) updateFailureRate(indices []int) {
	attempts := 0.0
	failures := 0.0
	for _, i := range indices {
		attempts += r.candidates[i].attempts
		failures += r.candidates[i].failures
	}
	r.failureRate = failures / math.Max(minAttemptsDivisor, attempts)
}

// updateGroupWeights sums up the weight of the endpoints that each group may use.
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

// planGroup solves for the shares of a class group and passes them on to the endpoints, and to the publisher as lines
// of tables.
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

// sendPlannedShares lets the endpoints know their shares of a plan, at the recent demand, so that they can correct load
// reports that were made under other plans.
func (r *region) sendPlannedShares(group int, allocations []allocation) {
	plan := r.planner.planNumber(r.zone, group)
	surge := r.planner.demand.surge(r.zone)
	for i := range allocations {
		a := &allocations[i]
		r.planner.endpoints[a.endpoint].mailbox.enqueue(plannedShare{plan, a.share * surge})
	}
}

// plannedLoad returns the mean load of the endpoints, weighted by their shares. A load above 1 counts as 1.
func (r *region) plannedLoad(allocations []allocation) float64 {
	load := 0.0
	for i := range allocations {
		a := &allocations[i]
		load += a.share * math.Min(1, r.candidates[a.endpoint].load)
	}
	return load
}
