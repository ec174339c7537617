package planner

// This file limits the shares of endpoints that warm up after a start, and of those on trial. The risk with an endpoint
// that warms up is that the others of its zone fail: all requests of the zone would turn to it, and overload it.

import "math"

const (
	// foreignWarmUpFraction is the fraction of its share of the fleet's weight that an endpoint that warms up gets from
	// other zones.
	foreignWarmUpFraction = 0.1

	// Overloads of the endpoints that warm up, relative to the load at which endpoints fail, if all requests of their
	// zone turned to them: below safeOverload there is no risk; at fatalOverload they get nothing.
	safeOverload  = 0.8
	fatalOverload = 3.0

	// Above safeOverload they also get nothing at a mean load of maxWarmUpLoad, and less from warmUpLoadMargin below it.
	maxWarmUpLoad    = 0.85
	warmUpLoadMargin = 0.2

	// warmUpFailureGain makes them get nothing, above safeOverload, once a quarter of the attempts fail.
	warmUpFailureGain = 4.0

	// maxWarmUpExponent is the largest exponent of the warm-up fraction in the limit, at full risk.
	maxWarmUpExponent = 3.0

	// uncountedProxies is the number of a zone's proxies that do not count in the comparison with the fleet's proxies.
	uncountedProxies = 10

	// unknownProxyCount stands in for an unknown number of proxies, so that no zone counts as crowded.
	unknownProxyCount = 1e9
)

// warmUpFraction returns the fraction of its capacity that an endpoint has that started at a given time: it rises linearly from
// the configured start to 1 within the configured time. A start at 0 is long ago.
func (p *Planner) warmUpFraction(started float64) float64 {
	if started == 0 {
		return 1
	}
	age := (p.now - started) / p.settings.WarmUpMs
	from := p.settings.WarmUpInitialCapacity
	return math.Min(1, from+(1-from)*math.Max(0, age))
}

// isWarmingUp returns whether an endpoint started less than the configured time ago.
func (p *Planner) isWarmingUp(endpoint int) bool {
	started := p.endpoints[endpoint].Started
	return started != 0 && p.now-started < p.settings.WarmUpMs
}

// candidateTotals sums up the endpoints that a plan may use.
type candidateTotals struct {
	weight        float64 // of all
	homeWeight    float64 // in the region's own zone, or of an average zone if that is more
	warmingWeight float64 // of those in the own zone that warm up, times their warm-up fractions
	settledHealth float64 // sum over those that do not warm up
}

// add counts an endpoint that may be used.
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

// slowStart limits endpoints that warm up in one plan: to their share of the zone's weight, times factor, times their
// warm-up fraction to the power of exponent.
type slowStart struct {
	factor   float64 // 0: they get nothing
	exponent float64 // 1, or up to maxWarmUpExponent at risk
}

// slowStartLimits returns the limits for endpoints that warm up. Load is the mean load of the group's endpoints. Since
// failed requests are repeated, the limits shrink with the failure rate and the surge of demand.
func (r *region) slowStartLimits(totals candidateTotals, load float64) slowStart {
	p := r.planner
	surge := math.Max(1, p.demand.surge(r.zone))
	start := slowStart{exponent: 1}
	if p.rounds >= settlingRounds {
		start.factor = (1 - r.failureRate) / surge
	}
	overload := r.warmUpOverload(totals, load, surge)
	if p.settings.ProxiesEject && overload > safeOverload { // proxies that avoid what fails turn to what is left
		allowance := r.warmUpAllowance(overload, load)
		start.factor = math.Min(start.factor, allowance)
		start.exponent = maxWarmUpExponent - (maxWarmUpExponent-1)*allowance
	}
	return start
}

// warmUpOverload returns the load of the endpoints that warm up if all requests of their zone turned to them,
// relative to the load at which endpoints fail. The zone's requests go by its share of the weight, or of the proxies
// if that is more: a crowded zone that is cut off from the others has only its own endpoints.
func (r *region) warmUpOverload(totals candidateTotals, load, surge float64) float64 {
	settings := &r.planner.settings
	proxies := r.planner.demand.proxiesByZone[r.zone]
	crowdedWeight := totals.weight * (proxies - uncountedProxies) / settings.ProxyCount.Or(unknownProxyCount)
	overload := surge * load / totals.warmingWeight / settings.FailureLoad
	return overload * math.Max(totals.homeWeight, crowdedWeight)
}

// warmUpAllowance returns how much of the limit stands at risk, from 0 (endpoints that warm up get nothing) to 1, by the
// possible overload, the failure rate, and the mean load.
func (r *region) warmUpAllowance(overload, load float64) float64 {
	byOverload := math.Min(1, fatalOverload-overload)
	byFailures := 1 - warmUpFailureGain*r.failureRate
	byLoad := (maxWarmUpLoad - load) / warmUpLoadMargin
	return math.Max(0, math.Min(byOverload, math.Min(byFailures, byLoad)))
}

// limitShares limits the shares of endpoints that warm up or are on trial, and normalizes weights to a sum of 1.
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

// shareLimit returns the largest share that an endpoint may get. Trust counts only while some endpoint that does not
// warm up has any: otherwise all are used.
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

// fullCapacityShare returns the share that an endpoint that warms up could have at full capacity: its part of the zone's
// weight for requests of its own zone, and a small part of the fleet's for those of others.
func (r *region) fullCapacityShare(a *allocation, c *candidate, totals candidateTotals) float64 {
	if c.Zone == r.zone {
		return a.weight / totals.homeWeight
	}
	return foreignWarmUpFraction * a.weight / totals.weight
}

// raiseSettledLimits raises the limits of all that do not warm up if the limits leave some requests unassigned: a failing
// trial does less harm than an overloaded endpoint that warms up.
func (r *region) raiseSettledLimits(allocations []allocation, ratio float64) {
	factor := math.Max(1, ratio)
	for i := range allocations {
		if r.candidates[allocations[i].endpoint].warmUpFraction < 1 {
			continue
		}
		allocations[i].limit *= factor
	}
}
