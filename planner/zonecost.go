package planner

// This file computes the cost of each zone for the requests of a region. The region's own zone has no cost while it can
// serve its demand. The cost of other zones increases with their rank by latency. The penalties of the endpoints are
// added. If they raise the cost of the own zone above that of the next zone, requests spill over.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// ownPenaltyWeight is the weight of an endpoint's own penalty in its cost; the remaining weight is that of the mean
	// penalty of its zone, since the penalty of a single endpoint is mostly noise.
	ownPenaltyWeight = 0.4

	// latencyStepRatio is the ratio of the upper to the lower bound of a latency step. Zones whose latencies are in the
	// same step are not ranked by latency.
	latencyStepRatio = 1.3

	// firstRemoteZoneCost is the cost of the zone that ranks first after the own one. Each further rank adds
	// zoneCostStep.
	firstRemoteZoneCost = 1.0
	zoneCostStep        = 0.2

	// minUsableFraction is the lower bound of the fraction of its weight with which an endpoint counts in its zone's
	// mean, so that a zone still has a cost if none of its endpoints can be used.
	minUsableFraction = 0.01

	// lostZoneFraction is the fraction of all weight up to which the home zone counts as lost. The descent then uses
	// its smallest step size (see gradientLength), as larger steps would move all requests to one other zone and back.
	lostZoneFraction = 0.03

	// minForeignFraction is the lower bound of the other zones' fraction of all weight in the forecast of the own
	// zone's cost.
	minForeignFraction = 0.1
)

// zoneCosts holds the cost of a request of a class group in each zone.
type zoneCosts struct {
	byZone       map[int]float64 // costs by zone
	homeFraction float64         // fraction of all weight in the nearest zone that the group may use; 1 if it is lost
	load         float64         // mean load of the endpoints that the group may use
}

// zoneTotals holds sums over the candidates that may serve a class group.
type zoneTotals struct {
	weights      map[int]float64 // by zone, sum of the endpoints' usable weights
	penalties    map[int]float64 // by zone, sum of penalty times weight, without the fraction ownPenaltyWeight
	weight       float64         // sum over all zones
	servedWeight float64         // sum over the zones whose demand this planner sees
	load         float64         // sum of load times weight
}

// computeZoneCosts returns the cost of each zone for a class group: the mean penalty of its endpoints plus a cost by
// rank or, for the own zone, the forecast cost.
func (r *region) computeZoneCosts(group int, indices []int) zoneCosts {
	totals := r.sumZones(group, indices)
	zones := r.rankZones(totals.weights)
	costs := zoneCosts{
		byZone: totals.penalties, homeFraction: homeFraction(zones, totals), load: totals.load / totals.weight,
	}
	for rank, zone := range zones {
		penalty := totals.penalties[zone] / totals.weights[zone]
		if zone == r.zone {
			costs.byZone[zone] = penalty + r.forecastHomeCost(costs, totals.weights[zone]/totals.servedWeight)
		} else {
			costs.byZone[zone] = penalty + (firstRemoteZoneCost + zoneCostStep*float64(rank-1))
		}
	}
	return costs
}

// sumZones sums the weights, penalties and loads of the endpoints that may serve a class group.
func (r *region) sumZones(group int, indices []int) zoneTotals {
	p := r.planner
	totals := zoneTotals{weights: map[int]float64{}, penalties: map[int]float64{}, weight: 1e-9, servedWeight: 1e-9}
	for _, i := range indices {
		c := r.candidates[i]
		if !p.groups[group].mayUse(r.zone, c) {
			continue
		}
		weight := r.remainingWeight(group, c) * c.usableFraction()
		totals.weights[c.Zone] += weight
		totals.penalties[c.Zone] += (1 - ownPenaltyWeight) * weight * c.penalty
		totals.load += weight * c.load
		totals.weight += weight
		if !p.settings.OneControllerPerZone || p.demand.rateByZone[c.Zone] > 0 {
			totals.servedWeight += weight
		}
	}
	return totals
}

// usableFraction returns the fraction of an endpoint's weight that can be used in its present phase, health and warm-up
// state. It is at least minUsableFraction.
func (c *candidate) usableFraction() float64 {
	if c.Phase != Ready {
		return minUsableFraction
	}
	return math.Max(minUsableFraction, c.healthFactor*c.warmUpFraction)
}

// rankZones returns the zones that have weight in the order of their cost: the own zone first, then the others by
// latency step. Zones in the same step are sorted by index, starting after the own zone, so that not all regions spill
// over to the same zone.
func (r *region) rankZones(weights map[int]float64) []int {
	count := len(r.planner.regions)
	key := func(zone int) float64 {
		if zone == r.zone {
			return -1
		}
		step := math.Floor(math.Log(math.Max(1, r.latency[zone])) / math.Log(latencyStepRatio))
		return step*float64(count) + float64((zone-r.zone+count)%count)
	}
	zones := slices.Sorted(maps.Keys(weights))
	slices.SortStableFunc(zones, func(a, b int) int { return cmp.Compare(key(a), key(b)) })
	return zones
}

// homeFraction returns the fraction of all weight in the first of the ranked zones. It is 1 if there are no zones or if
// the first zone counts as lost.
func homeFraction(zones []int, totals zoneTotals) float64 {
	if len(zones) == 0 {
		return 1
	}
	weight := totals.weights[zones[0]]
	if weight > lostZoneFraction*totals.weight {
		return weight / totals.weight
	}
	return 1
}

// forecastHomeCost returns the cost of the own zone at which it keeps only as much demand as fills it to the target
// load. The forecast takes effect before load reports show an overload. It is 0 if the zone can serve its demand.
// The parameter weightFraction is the zone's fraction of the weight in zones whose demand this planner sees.
func (r *region) forecastHomeCost(costs zoneCosts, weightFraction float64) float64 {
	p := r.planner
	load := costs.load
	if !p.settings.ReportsUtilization { // a short queue does not show how high the utilization is
		load = math.Max(load, p.targetLoad)
	}
	seenFraction := p.demandFraction()
	crowding := seenFraction*p.demand.rateByZone[r.zone]/
		math.Max(weightFraction*p.demand.totalRate, 1e-9) + 1 - seenFraction
	keptFraction := math.Max(p.targetLoad, load) / math.Max(load*crowding, 1e-9)
	if keptFraction < 1 {
		return math.Max(0, 1-(keptFraction-costs.homeFraction)/
			(gradientLength*math.Max(1-costs.homeFraction, minForeignFraction)))
	}
	return 0
}
