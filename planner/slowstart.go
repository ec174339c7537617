package planner

// This file limits the shares of endpoints that warm up after a start, and of endpoints on trial. An endpoint that
// warms up would be overloaded if the other endpoints of its zone failed and all requests of the zone were routed to
// it.

import "math"

const (
	// foreignWarmUpFraction is the factor by which the share of an endpoint that warms up is reduced in the plans of
	// other zones.
	foreignWarmUpFraction = 0.1

	// Bounds of the possible overload of endpoints that warm up: their load if all requests of their zone were routed
	// to them, relative to the load at which endpoints fail. Up to safeOverload it is not considered a risk; from
	// fatalOverload, the endpoints get no requests.
	safeOverload  = 0.8
	fatalOverload = 3.0

	// At risk of overload (above safeOverload), endpoints that warm up get no requests if the mean load is
	// maxWarmUpLoad or more. Their share is reduced from a mean load of maxWarmUpLoad-warmUpLoadMargin.
	maxWarmUpLoad    = 0.85
	warmUpLoadMargin = 0.2

	// warmUpFailureGain is the factor of the failure rate that reduces the share of endpoints that warm up at risk of
	// overload. With 4, they get no requests once a quarter of all attempts fail.
	warmUpFailureGain = 4.0

	// maxWarmUpExponent is the largest exponent of the warm-up fraction in the limit of a share. It applies at the
	// highest risk of overload.
	maxWarmUpExponent = 3.0

	// uncountedProxies is subtracted from the number of a zone's proxies before the zone's fraction of the fleet's
	// proxies is computed.
	uncountedProxies = 10

	// unknownProxyCount replaces an unknown number of proxies. It is so high that no zone counts as crowded.
	unknownProxyCount = 1e9
)

// warmUpFraction returns the available fraction of the capacity of an endpoint that started at the given time, in ms.
// It rises linearly from WarmUpInitialCapacity to 1 within WarmUpMs. A start time of 0 means long ago.
func (p *Planner) warmUpFraction(started float64) float64 {
	if started == 0 {
		return 1
	}
	age := (p.now - started) / p.settings.WarmUpMs
	from := p.settings.WarmUpInitialCapacity
	return math.Min(1, from+(1-from)*math.Max(0, age))
}

// isWarmingUp returns whether the endpoint with this index started less than WarmUpMs ago.
func (p *Planner) isWarmingUp(endpoint int) bool {
	started := p.endpoints[endpoint].Started
	return started != 0 && p.now-started < p.settings.WarmUpMs
}

// candidateTotals holds sums over the endpoints that a plan may use.
type candidateTotals struct {
	weight        float64 // sum of the weights of all endpoints
	homeWeight    float64 // sum over the region's own zone, or that of an average zone if higher
	warmingWeight float64 // sum of weight times warm-up fraction over the own zone's endpoints that warm up
	settledHealth float64 // sum of the health factors of the endpoints that do not warm up
}

// add adds an endpoint that the plan may use.
func (t *candidateTotals) add(a *allocation, c *candidate) {
	t.weight += a.weight
	if a.ring == homeRing {
		t.homeWeight += a.weight
	}
	if a.ring == homeRing && c.warmUpFraction < 1 {
		t.warmingWeight += a.weight * c.warmUpFraction
	}
	if c.warmUpFraction >= 1 {
		t.settledHealth += c.healthFactor
	}
}

// slowStart limits the shares of endpoints that warm up in one plan. The limit is the endpoint's fraction of the zone's
// weight, times factor, times the warm-up fraction raised to the power of exponent.
type slowStart struct {
	factor   float64 // 0: endpoints that warm up get no requests
	exponent float64 // from 1 to maxWarmUpExponent, rising with the risk of overload
}

// slowStartLimits returns the limits for endpoints that warm up. Load is the mean load of the group's endpoints. Since
// failed requests are repeated, the limits decrease with a rising failure rate and with a surge of demand.
func (r *region) slowStartLimits(totals candidateTotals, load float64) slowStart {
	p := r.planner
	surge := math.Max(1, p.demand.surge(r.zone))
	start := slowStart{exponent: 1}
	if p.rounds >= settlingRounds {
		start.factor = (1 - r.failureRate) / surge
	}
	overload := r.warmUpOverload(totals, load, surge)
	if p.settings.ProxiesEject && overload > safeOverload { // they overload the remaining endpoints
		allowance := r.warmUpAllowance(overload, load)
		start.factor = math.Min(start.factor, allowance)
		start.exponent = maxWarmUpExponent - (maxWarmUpExponent-1)*allowance
	}
	return start
}

// warmUpOverload returns the load of the endpoints that warm up if all requests of the zone were routed to them, as a
// multiple of the load at which endpoints fail. The zone's requests are estimated by its fraction of the fleet's weight
// or, if higher, by its fraction of the fleet's proxies. The latter is higher in a crowded zone, which has only its own
// endpoints if it is cut off from other zones. Load is the mean load of the group's endpoints.
func (r *region) warmUpOverload(totals candidateTotals, load, surge float64) float64 {
	settings := &r.planner.settings
	proxies := r.planner.demand.proxiesByZone[r.zone]
	crowdedWeight := totals.weight * (proxies - uncountedProxies) / settings.ProxyCount.Or(unknownProxyCount)
	overload := surge * load / totals.warmingWeight / settings.FailureLoad
	return overload * math.Max(totals.homeWeight, crowdedWeight)
}

// warmUpAllowance returns the upper bound of slowStart.factor at risk of overload, from 0 (endpoints that warm up get
// no requests) to 1. It decreases with the possible overload, the failure rate and the mean load.
func (r *region) warmUpAllowance(overload, load float64) float64 {
	byOverload := math.Min(1, fatalOverload-overload)
	byFailures := 1 - warmUpFailureGain*r.failureRate
	byLoad := (maxWarmUpLoad - load) / warmUpLoadMargin
	return math.Max(0, math.Min(byOverload, math.Min(byFailures, byLoad)))
}

// limitShares sets the limits of the shares of endpoints that warm up or are on trial. It also normalizes the weights
// to a sum of 1 and initializes the shares with them.
func (r *region) limitShares(allocations []allocation, totals candidateTotals, start slowStart) {
	warming := 0.0
	settled := 1e-9
	for i := range allocations {
		a := &allocations[i]
		c := r.candidates[a.endpoint]
		a.limit = r.shareLimit(a, c, totals, start)
		a.weight /= totals.weight
		a.share = a.weight
		if c.warmUpFraction < 1 {
			warming += a.limit
		} else {
			settled += a.limit
		}
	}
	r.raiseSettledLimits(allocations, (1-warming)/settled)
}

// shareLimit returns the upper bound of an endpoint's share. Health factors are ignored if all endpoints that do not
// warm up are ejected, so that some endpoint can be used.
func (r *region) shareLimit(a *allocation, c *candidate, totals candidateTotals, start slowStart) float64 {
	fraction := math.Pow(c.warmUpFraction, start.exponent)
	if totals.settledHealth > 0 {
		fraction *= c.healthFactor
	}
	limited := a.weight > 0 && fraction < 1
	switch {
	case !limited:
		return a.limit
	case c.warmUpFraction < 1:
		return fraction * (start.factor * r.fullCapacityShare(a, c, totals))
	default:
		return fraction * (a.weight / totals.weight)
	}
}

// fullCapacityShare returns the share that an endpoint that warms up would have at full capacity: its fraction of the
// zone's weight in the plan of its own zone, and a small part of its fraction of the fleet's weight in other plans.
func (r *region) fullCapacityShare(a *allocation, c *candidate, totals candidateTotals) float64 {
	if c.Zone == r.zone {
		return a.weight / totals.homeWeight
	}
	return foreignWarmUpFraction * a.weight / totals.weight
}

// raiseSettledLimits multiplies the limits of all endpoints that do not warm up by a ratio above 1; a lower ratio has
// no effect. The ratio is above 1 if the limits would leave some requests unassigned. These are then routed to
// endpoints on trial rather than to endpoints that warm up, because a failed trial does less harm than overloading the
// latter.
func (r *region) raiseSettledLimits(allocations []allocation, ratio float64) {
	factor := math.Max(1, ratio)
	for i := range allocations {
		if r.candidates[allocations[i].endpoint].warmUpFraction < 1 {
			continue
		}
		allocations[i].limit *= factor
	}
}
