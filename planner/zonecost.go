package planner

// This file gives each zone its cost, as a region's proxies bear it: the region's own zone costs nothing while it can
// serve its demand, the others go by latency. Penalties come on top; where they raise the own zone above the next one,
// requests spill over.

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	// ownPenaltyPart is the part of an endpoint's penalty that is its own; the rest is the mean of its zone, as a
	// single endpoint's figure is mostly noise.
	ownPenaltyPart = 0.4

	// latencyStep is the ratio by which latencies have to differ for one zone to rank before another.
	latencyStep = 1.3

	// nextZoneCost is the cost of the nearest zone but one's own, and zoneCostStep that of each further rank.
	nextZoneCost = 1.0
	zoneCostStep = 0.2

	// minWeightPart is the part of its weight with which an endpoint counts at least in its zone's mean, so that a zone
	// of endpoints that can't be used has a cost.
	minWeightPart = 0.01

	// lostZonePart is the part of all weight below which the home zone counts as lost: it draws nothing to it then.
	lostZonePart = 0.03

	// minForeignPart bounds the part of all weight that other zones have in the forecast of the home zone's cost.
	minForeignPart = 0.1
)

// zoneCosts is what a request of a class group costs in each zone.
type zoneCosts struct {
	byZone   map[int]float64
	homePart float64 // of all weight, that of the nearest zone with endpoints that the group may use; 1: it is lost
	load     float64 // mean load of the endpoints that the group may use
}

// zoneTotals sums up what a region is offered for a class group.
type zoneTotals struct {
	weights   map[int]float64 // by zone
	penalties map[int]float64 // by zone: the shared part of the penalties, weighted
	weight    float64
	served    float64 // weight in zones whose demand this planner sees
	load      float64 // weighted
}

// priceZones ranks the zones, home first, and adds their mean penalties and what is forecast of the own zone.
func (r *region) priceZones(group int, indices []int) zoneCosts {
	totals := r.sumZones(group, indices)
	zones := r.rankZones(totals.weights)
	costs := zoneCosts{byZone: totals.penalties, homePart: homePart(zones, totals), load: totals.load / totals.weight}
	for rank, zone := range zones {
		penalty := totals.penalties[zone] / totals.weights[zone]
		if zone == r.zone {
			costs.byZone[zone] = penalty + r.forecastHomeCost(costs, totals.weights[zone]/totals.served)
		} else {
			costs.byZone[zone] = penalty + (nextZoneCost + zoneCostStep*float64(rank-1))
		}
	}
	return costs
}

// sumZones sums up weights, penalties and loads of the endpoints that a class group may use.
func (r *region) sumZones(group int, indices []int) zoneTotals {
	p := r.planner
	totals := zoneTotals{weights: map[int]float64{}, penalties: map[int]float64{}, weight: 1e-9, served: 1e-9}
	for _, i := range indices {
		c := r.candidates[i]
		if !p.groups[group].mayUse(r.zone, c) {
			continue
		}
		weight := r.weightFor(group, c) * c.usablePart()
		totals.weights[c.Zone] += weight
		totals.penalties[c.Zone] += (1 - ownPenaltyPart) * weight * c.penalty
		totals.load += weight * c.load
		totals.weight += weight
		if !p.settings.ZonesKeptWhole || p.demand.rates[c.Zone] > 0 {
			totals.served += weight
		}
	}
	return totals
}

// usablePart returns the part of its weight that an endpoint has in its present state.
func (c *candidate) usablePart() float64 {
	if c.Phase != Ready {
		return minWeightPart
	}
	return math.Max(minWeightPart, c.trust*c.warmUp)
}

// rankZones orders zones that have weight: the own first, the others by latency in steps, and from the own one on
// upwards where latencies are about the same, so that not all regions spill over to the same zone.
func (r *region) rankZones(weights map[int]float64) []int {
	count := len(r.planner.regions)
	key := func(zone int) float64 {
		if zone == r.zone {
			return -1
		}
		step := math.Floor(math.Log(math.Max(1, r.latency[zone])) / math.Log(latencyStep))
		return step*float64(count) + float64((zone-r.zone+count)%count)
	}
	zones := slices.Sorted(maps.Keys(weights))
	slices.SortStableFunc(zones, func(a, b int) int { return cmp.Compare(key(a), key(b)) })
	return zones
}

// homePart returns the part of all weight that the first of the ranked zones has.
func homePart(zones []int, totals zoneTotals) float64 {
	if len(zones) == 0 {
		return 1
	}
	weight := totals.weights[zones[0]]
	if weight > lostZonePart*totals.weight {
		return weight / totals.weight
	}
	return 1
}

// forecastHomeCost prices the own zone so that it keeps the demand that fills it to the target load, before reports
// show that it is overfull. Part is the zone's part of the weight that is there for the demand this planner sees.
func (r *region) forecastHomeCost(costs zoneCosts, part float64) float64 {
	p := r.planner
	load := costs.load
	if !p.settings.ReportsUtilization { // a short queue doesn't show how full an endpoint is
		load = math.Max(load, p.targetLoad)
	}
	seen := p.demandSeen()
	crowding := seen*p.demand.rates[r.zone]/math.Max(part*p.demand.total, 1e-9) + 1 - seen
	stay := math.Max(p.targetLoad, load) / math.Max(load*crowding, 1e-9)
	if stay < 1 {
		return math.Max(0, 1-(stay-costs.homePart)/(gradientLength*math.Max(1-costs.homePart, minForeignPart)))
	}
	return 0
}
