package brain

// This file bounds the shares of endpoints that warm up after a start, and of those on trial. The risk with an endpoint
// that warms up is that others fail beside it: all requests of its zone would turn to it, and it would fall over.

import (
	"maps"
	"math"
	"slices"
)

// allocations lists a group's endpoints, cold ones and trials capped; without a trusted warm one all are in.
func (r *region) allocations(g int) (lines []allocation, own float64) {
	prices := r.priceZones(g, slices.Sorted(maps.Keys(r.candidates)))
	costs, load := prices.byZone, prices.load
	sum, near, chill, trusted, chilled, tried := 1e-9, 1e-9, 1e-9, 0.0, 0.0, 1e-9
	rush := r.planner.demand.surge(r.zone)                                                // who is refused comes again
	cold, bend := pick(r.planner.rounds < 5, 0, (1-r.failureRate)/math.Max(1, rush)), 1.0 // a fresh pilot: none
	for _, i := range slices.Sorted(maps.Keys(r.candidates)) {
		o, l := r.candidates[i], allocation{endpoint: i, ring: int(pick(r.candidates[i].Zone == r.zone, 0, 1))}
		if r.planner.groups[g].mayUse(r.zone, o) && o.Phase == Ready {
			w := r.weightFor(g, o)
			l.weight, l.cost, l.limit = w, costs[o.Zone]+ownPenaltyPart*o.penalty, 1
			sum, near = sum+w, near+pick(o.Zone == r.zone, w, 0)
			chill += pick(o.Zone == r.zone && o.warmUp < 1, w*o.warmUp, 0)
			trusted += pick(o.warmUp >= 1, o.trust, 0)
		}
		lines = append(lines, l)
	}
	near = math.Max(near, sum/float64(len(r.planner.regions))) // the last of a zone is no giant
	few := math.Max(1, rush) * load / chill / r.planner.settings.OverloadMultiple
	few *= math.Max(near, sum*(r.planner.demand.proxiesOfZone[r.zone]-minSubsetProxies)/r.planner.settings.ProxyCount.Or(1e9))
	if r.planner.settings.ProxiesEject && few > 0.8 {
		ease := math.Max(0, math.Min(math.Min(1, 3-few), math.Min(1-4*r.failureRate, (0.85-load)/0.2)))
		cold, bend = math.Min(cold, ease), 3-2*ease
	}
	for i := range lines {
		l, o := &lines[i], r.candidates[lines[i].endpoint]
		if part := math.Pow(o.warmUp, bend) * pick(trusted > 0, o.trust, 1); l.weight > 0 && part < 1 {
			room := pick(o.Zone == r.zone, l.weight/near, 0.1*l.weight/sum)
			l.limit = part * pick(o.warmUp < 1, cold*room, l.weight/sum)
		}
		l.weight, l.share = l.weight/sum, l.weight/sum
		chilled, tried = chilled+pick(o.warmUp < 1, l.limit, 0), tried+pick(o.warmUp < 1, 0, l.limit)
	}
	for i := range lines { // what caps leave over falls to trials: one that fails harms less than a cold one
		lines[i].limit *= pick(r.candidates[lines[i].endpoint].warmUp < 1, 1, math.Max(1, (1-chilled)/tried))
	}
	return lines, prices.homePart
}

func (c *publisher) isWarmingUp(endpoint int) bool {
	return c.planner.endpoints[endpoint].Started != 0 && c.planner.now-c.planner.endpoints[endpoint].Started < c.planner.settings.WarmUpMs
}

// warmUp returns the part of its normal work that an endpoint can do that started at a time: it rises evenly from the
// configured start to 1 within the configured time. A start of 0 is long ago.
func (p *Brain) warmUp(started float64) float64 {
	if started == 0 {
		return 1
	}
	age := (p.now - started) / p.settings.WarmUpMs
	from := p.settings.WarmUpStart
	return math.Min(1, from+(1-from)*math.Max(0, age))
}
