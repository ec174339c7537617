package brain

// This file gives each zone its cost, as a region's proxies bear it: the region's own zone costs nothing while it can
// serve its demand, the others go by latency. Penalties come on top; where they raise the own zone above the next one,
// requests spill over.

import (
	"maps"
	"math"
	"slices"
	"sort"
)

// priceZones ranks zones, home first, then by heard latency in steps of the margin, and adds their mean penalties.
func (r *region) priceZones(g int) (costs map[int]float64, own, load float64) {
	n, weights, costs, sum, served := len(r.planner.regions), map[int]float64{}, map[int]float64{}, 1e-9, 1e-9
	for _, i := range slices.Sorted(maps.Keys(r.candidates)) {
		if o := r.candidates[i]; r.planner.groups[g].mayUse(r.zone, o) {
			w := r.weightFor(g, o) * pick(o.Phase == Ready, math.Max(0.01, o.trust*o.warmUp), 0.01)
			weights[o.Zone] += w
			costs[o.Zone] += (1 - ownPenaltyPart) * w * o.penalty
			load, sum = load+w*o.load, sum+w
			served += pick(!r.planner.settings.ZonesKeptWhole || r.planner.demand.rates[o.Zone] > 0, w, 0)
		}
	}
	key := func(zone int) float64 {
		step := math.Floor(math.Log(math.Max(1, r.latency[zone])) / math.Log(latencyStep))
		return pick(zone == r.zone, -1, step*float64(n)+float64((zone-r.zone+n)%n))
	}
	zones := slices.Sorted(maps.Keys(weights))
	sort.Slice(zones, func(i, j int) bool { return key(zones[i]) < key(zones[j]) })
	home := append(zones, -1)[0]
	own = pick(weights[home] > 0.03*sum, weights[home]/sum, 1) // a lost home draws nothing to it
	for i, z := range zones {
		ahead := r.forecastHomeCost(load/sum, weights[z]/served, own)
		costs[z] = costs[z]/weights[z] + pick(z == r.zone, ahead, 1+zoneCostStep*float64(i-1))
	}
	return costs, own, load / sum
}

// forecastHomeCost prices the home zone so that it keeps the demand that fills it to the target, ahead of reports.
func (r *region) forecastHomeCost(mean, part, own float64) float64 {
	if !r.planner.settings.ReportsUtilization {
		mean = math.Max(mean, r.planner.targetLoad) // a short queue doesn't tell how full it is
	}
	seen := r.planner.demandSeen()
	crowd := seen*r.planner.demand.rates[r.zone]/math.Max(part*r.planner.demand.total, 1e-9) + 1 - seen
	stay := math.Max(r.planner.targetLoad, mean) / math.Max(mean*crowd, 1e-9)
	return pick(stay < 1, math.Max(0, 1-(stay-own)/(gradientLength*math.Max(1-own, 0.1))), 0)
}
