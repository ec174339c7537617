package planner

// This file determines the cost of each zone for a region's requests. The region's own zone costs nothing while it can
// serve its demand; the others cost more the higher their latency ranks. Penalties are added; where they raise the cost
// of the own zone above that of the next, requests spill over.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// ownPenaltyWeight is the weight of an endpoint's own penalty against the mean of its zone, as a single endpoint's
	// penalty is mostly noise.
	ownPenaltyWeight = 0.4

	// latencyStepRatio is the ratio of latencies in one rank: zones whose latencies differ by less rank alike.
	latencyStepRatio = 1.3

	// firstRemoteZoneCost is the cost of the zone that ranks after the own one, and zoneCostStep that of each further rank.
	firstRemoteZoneCost = 1.0
	zoneCostStep        = 0.2

	// minUsableFraction is the least fraction of its weight with which an endpoint counts in its zone's mean, so that a
	// zone whose endpoints are all unusable still has a cost.
	minUsableFraction = 0.01

	// lostZoneFraction is the fraction of all weight below which the home zone counts as lost and attracts no requests.
	lostZoneFraction = 0.03

	// minForeignFraction is the least fraction of all weight that counts as that of other zones in the forecast.
	minForeignFraction = 0.1
)

// zoneCosts is the cost of a request of a class group in each zone.
type zoneCosts struct {
	byZone       map[int]float64
	homeFraction float64 // fraction of all weight in the nearest zone that the group may use; 1 if that is lost
	load         float64 // mean load of the endpoints that the group may use
}

// zoneTotals sums up the candidates for a class group.
type zoneTotals struct {
	weights      map[int]float64 // by zone
	penalties    map[int]float64 // by zone, weighted, without the endpoints' own part
	weight       float64
	servedWeight float64 // weight in zones whose demand this planner sees
	load         float64 // weighted
}

// computeZoneCosts returns the costs of the zones: by rank, mean penalty and, for the own zone, forecast.
func (r *region) computeZoneCosts(group int, indices []int) zoneCosts {
	totals := r.sumZones(group, indices)
	zones := r.rankZones(totals.weights)
	costs := zoneCosts{byZone: totals.penalties, homeFraction: homeFraction(zones, totals), load: totals.load / totals.weight}
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

// sumZones sums up weights, penalties and loads of the endpoints that a class group may use.
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
		if !p.settings.OneControllerPerZone || p.demand.rates[c.Zone] > 0 {
			totals.servedWeight += weight
		}
	}
	return totals
}

// usableFraction returns the fraction of its weight that an endpoint has in its present state.
func (c *candidate) usableFraction() float64 {
	if c.Phase != Ready {
		return minUsableFraction
	}
	return math.Max(minUsableFraction, c.healthFactor*c.warmUpFraction)
}

// rankZones sorts zones that have weight: the own one first, then by latency in steps. Zones of the same step follow by
// index from the own one on, so that not all regions spill over to the same zone.
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

// homeFraction returns the fraction of all weight in the first of the ranked zones.
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

// forecastHomeCost returns the cost at which the own zone keeps the demand that fills it to the target load, before
// load reports show an overload. Part is the zone's fraction of the weight that serves the demand this planner sees.
func (r *region) forecastHomeCost(costs zoneCosts, weightFraction float64) float64 {
	p := r.planner
	load := costs.load
	if !p.settings.ReportsUtilization { // a short queue doesn't show how full an endpoint is
		load = math.Max(load, p.targetLoad)
	}
	seenFraction := p.demandSeen()
	crowding := seenFraction*p.demand.rates[r.zone]/math.Max(weightFraction*p.demand.total, 1e-9) + 1 - seenFraction
	keptFraction := math.Max(p.targetLoad, load) / math.Max(load*crowding, 1e-9)
	if keptFraction < 1 {
		return math.Max(0, 1-(keptFraction-costs.homeFraction)/(gradientLength*math.Max(1-costs.homeFraction, minForeignFraction)))
	}
	return 0
}
