package brain

// This file holds the state of one region, the paper's set of clients that a sub-controller plans for (R(n)): here the
// proxies of one zone. A region solves its local problem (paper, equation 6) once in a round for each class group:
// costs of zones (zonecost.go), limits of endpoints that warm up (slowstart.go), shares (solver.go), their layout over
// subsets of the proxies (subset.go), and admission (admission.go).

import (
	"maps"
	"math"
	"slices"
)

type candidate struct {
	Entry
	weight   float64 // listed, corrected by the speed that reports show
	load     float64
	penalty  float64
	warmUp   float64 // part of its normal work that it can do so soon after its start
	trust    float64 // part of its normal weight that its health allows; 0: ejected
	attempts float64 // of the zone's proxies, fading
	failures float64 // of these
}

type region struct {
	mailbox     mailbox[regionMessage]
	planner     *Brain
	zone        int
	candidates  map[int]*candidate
	latency     map[int]float64 // heard, by zone of the endpoints
	failureRate float64         // part of the tries that fail
	shed        map[int]float64 // part of the reqs to be denied, by group
	runLengths  map[int]float64 // tables that an endpoint is in, by group
	groupWeight []float64       // weight of the endpoints open to each group
	divergence  float64         // part of the reqs that go elsewhere than planned, or in, while tables are standing
}

func (r *region) receive(note regionMessage) {
	switch n := note.(type) {
	case Met:
		if o := r.candidates[n.Endpoint]; o != nil && n.MeanMs > 0 {
			old := r.latency[o.Zone]
			r.latency[o.Zone] += (n.MeanMs - old) * pick(old > 0, 0.125, 1)
		}
	case *candidate:
		r.candidates[n.Endpoint] = n
	case roundStart:
		r.controlRound(n.timed)
	}
}

func (r *region) controlRound(step bool) {
	groups, tries, fails := len(r.planner.groups), 0.0, 0.0
	r.groupWeight = make([]float64, groups)
	for _, i := range slices.Sorted(maps.Keys(r.candidates)) {
		o := r.candidates[i]
		tries, fails = tries+o.attempts, fails+o.failures
		for g, group := range r.planner.groups {
			r.groupWeight[g] += pick(o.Phase == Ready && group.mayUse(r.zone, o), o.weight, 0)
		}
	}
	r.failureRate, r.divergence = pick(step, fails/math.Max(8, tries), r.failureRate), 0
	for g := range r.planner.groups {
		lines, own := r.allocations(g)
		solveShares(lines, own)
		r.divergence = math.Max(r.divergence, r.planDivergence(g, lines)+r.shed[g])
		load, unit, rush := 0.0, 1e-9, r.planner.demand.surge(r.zone)
		for _, l := range lines { // the fullest line stands still, so that spill alone moves few others
			unit = math.Max(unit, l.share/math.Max(l.weight, 1e-9))
			load += l.share * math.Min(1, r.candidates[l.endpoint].load)
			r.planner.endpoints[l.endpoint].mailbox.enqueue(plannedShare{r.planner.planNumber(r.zone, g), l.share * rush})
		}
		r.assignSubsets(g, lines, unit)
		if step {
			r.updateAdmission(g, load)
		}
	}
}
