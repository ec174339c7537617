package planner

// This file bounds the shares of endpoints that warm up after a start, and of those on trial. The risk with an endpoint
// that warms up is that others fail beside it: all requests of its zone would turn to it, and it would fall over.

import "math"

const (
	// foreignWarmUpPart is the part of its weight in the whole fleet that an endpoint that warms up gets from other
	// zones.
	foreignWarmUpPart = 0.1

	// safeOverload is the part of the overload that fells endpoints, below which the whole load of the zone may turn to
	// those that warm up; at fatalOverload they get nothing.
	safeOverload  = 0.8
	fatalOverload = 3.0

	// Above safeOverload they get nothing either at noWarmUpLoad, and less than otherwise from warmUpLoadMargin below
	// it.
	noWarmUpLoad     = 0.85
	warmUpLoadMargin = 0.2

	// failureRateWeight is such that they get nothing once a quarter of the attempts fail.
	failureRateWeight = 4.0

	// maxWarmUpExponent is the power of the warm-up fraction that bounds them where nothing eases the risk.
	maxWarmUpExponent = 3.0

	// ordinaryProxies are left out where a zone's proxies are held against all: so few don't make it crowded.
	ordinaryProxies = 10

	// manyProxies stands for an unknown number of proxies: no zone is crowded by its part of them.
	manyProxies = 1e9
)

// warmUp returns the part of its normal work that an endpoint can do that started at a time: it rises evenly from the
// configured start to 1 within the configured time. A start of 0 is long ago.
func (p *Planner) warmUp(started float64) float64 {
	if started == 0 {
		return 1
	}
	age := (p.now - started) / p.settings.WarmUpMs
	from := p.settings.WarmUpStart
	return math.Min(1, from+(1-from)*math.Max(0, age))
}

// isWarmingUp returns whether an endpoint started less than the configured time ago.
func (p *Planner) isWarmingUp(endpoint int) bool {
	started := p.endpoints[endpoint].Started
	return started != 0 && p.now-started < p.settings.WarmUpMs
}

// candidateTotals sums up what bounds endpoints that warm up.
type candidateTotals struct {
	weight        float64 // of all that may be used
	homeWeight    float64 // of these in the own zone, or of a mean zone if that is more
	warmingWeight float64 // of these in the own zone that warm up, by what they can do
	warmTrust     float64 // trust in those that don't warm up
}

// add counts an endpoint that may be used.
func (t *candidateTotals) add(a *allocation, c *candidate) {
	t.weight += a.weight
	if a.ring == homeRing {
		t.homeWeight += a.weight
	}
	if a.ring == homeRing && c.warmUp < 1 {
		t.warmingWeight += a.weight * c.warmUp
	}
	if c.warmUp >= 1 {
		t.warmTrust += c.trust
	}
}

// slowStart is how endpoints that warm up are bounded in one plan: their part of the zone's weight, times factor, times
// their warm-up fraction to the power of exponent.
type slowStart struct {
	factor   float64 // 0: they get nothing
	exponent float64 // 1, or up to maxWarmUpExponent while they could be felled
}

// planSlowStart returns how a plan bounds endpoints that warm up. Load is the mean of the group's candidates. Failed
// requests come again, so what an endpoint gets is cut by the part that fails and by how often requests come.
func (r *region) planSlowStart(totals candidateTotals, load float64) slowStart {
	p := r.planner
	repeats := math.Max(1, p.demand.surge(r.zone))
	start := slowStart{exponent: 1}
	if p.rounds >= settlingRounds {
		start.factor = (1 - r.failureRate) / repeats
	}
	overload := r.warmUpOverload(totals, load, repeats)
	if p.settings.ProxiesEject && overload > safeOverload { // proxies that avoid what fails turn to what is left
		ease := r.warmUpEase(overload, load)
		start.factor = math.Min(start.factor, ease)
		start.exponent = maxWarmUpExponent - (maxWarmUpExponent-1)*ease
	}
	return start
}

// warmUpOverload returns the load of the endpoints that warm up if all requests of their zone turned to them, as a part
// of what fells them. A zone has its part of the endpoints' weight of them, or its part of the proxies if that is more:
// cut off from other zones, a crowded one turns to its own endpoints whole.
func (r *region) warmUpOverload(totals candidateTotals, load, repeats float64) float64 {
	settings := &r.planner.settings
	proxies := r.planner.demand.proxiesOfZone[r.zone]
	crowd := totals.weight * (proxies - ordinaryProxies) / settings.ProxyCount.Or(manyProxies)
	overload := repeats * load / totals.warmingWeight / settings.OverloadMultiple
	return overload * math.Max(totals.homeWeight, crowd)
}

// warmUpEase returns from below 0 (nothing may go to endpoints that warm up) to 1 (no risk) how far they are from being
// felled: by the overload that threatens, the failures, and the load of the others.
func (r *region) warmUpEase(overload, load float64) float64 {
	byOverload := math.Min(1, fatalOverload-overload)
	byFailures := 1 - failureRateWeight*r.failureRate
	byLoad := (noWarmUpLoad - load) / warmUpLoadMargin
	return math.Max(0, math.Min(byOverload, math.Min(byFailures, byLoad)))
}

// limitShares bounds the shares of endpoints that warm up or are on trial, and makes parts of the whole of all weights.
func (r *region) limitShares(allocations []allocation, totals candidateTotals, start slowStart) {
	warming := 0.0
	settled := 1e-9
	for i := range allocations {
		a := &allocations[i]
		c := r.candidates[a.endpoint]
		a.limit = r.shareLimit(a, c, totals, start)
		a.weight /= totals.weight
		a.share = a.weight
		if c.warmUp < 1 {
			warming += a.limit
		} else {
			settled += a.limit
		}
	}
	r.widenTrials(allocations, (1-warming)/settled)
}

// shareLimit returns the largest share that an endpoint may get. That of trials is cut only while some endpoint is left
// that neither warms up nor is on trial.
func (r *region) shareLimit(a *allocation, c *candidate, totals candidateTotals, start slowStart) float64 {
	part := math.Pow(c.warmUp, start.exponent)
	if totals.warmTrust > 0 {
		part *= c.trust
	}
	limited := a.weight > 0 && part < 1
	switch {
	case !limited:
		return a.limit
	case c.warmUp < 1:
		return part * (start.factor * r.warmUpRoom(a, c, totals))
	default:
		return part * (a.weight / totals.weight)
	}
}

// warmUpRoom returns the share that an endpoint that warms up could have once it is warm: of its own zone's requests
// its part of that zone, as it may be all that is left; of others' a small part.
func (r *region) warmUpRoom(a *allocation, c *candidate, totals candidateTotals) float64 {
	if c.Zone == r.zone {
		return a.weight / totals.homeWeight
	}
	return foreignWarmUpPart * a.weight / totals.weight
}

// widenTrials raises the limits of all that don't warm up where the limits leave some requests over: a trial that fails
// harms less than an endpoint felled while it warms up.
func (r *region) widenTrials(allocations []allocation, by float64) {
	factor := math.Max(1, by)
	for i := range allocations {
		if r.candidates[allocations[i].endpoint].warmUp < 1 {
			continue
		}
		allocations[i].limit *= factor
	}
}
