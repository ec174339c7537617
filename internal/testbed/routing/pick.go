package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// candidates holds the endpoints of a table that may be picked, sorted by name, with their weights.
type candidates struct {
	names     []string
	weights   []float64
	weightSum float64
}

// draw returns a random endpoint with probability proportional to its weight, or "" if there are no candidates.
func (c *candidates) draw(random *rand.Rand) string {
	if len(c.names) == 0 {
		return ""
	}
	remaining := random.Float64() * c.weightSum
	for i, weight := range c.weights {
		if remaining -= weight; remaining < 0 {
			return c.names[i]
		}
	}
	return c.names[len(c.names)-1] // reached only through floating-point rounding
}

// included reports whether an endpoint is not excluded for a class. Exclusions of the previous stream still apply to
// classes that the current stream has not assigned a table.
func (r *Router) included(class int, endpoint string) bool {
	return !r.excluded[endpoint] && (r.assigned[class] || !r.previouslyExcluded[endpoint])
}

// Eligible reports whether the table of a class contains an endpoint and the endpoint is not excluded.
func (r *Router) Eligible(class int, endpoint string) bool {
	return r.byClass[class].lines[endpoint] > 0 && r.included(class, endpoint)
}

// EligibleCount returns how many endpoints in the table of a class are not excluded. Ejected endpoints count, because
// they are still picked when all endpoints are ejected.
func (r *Router) EligibleCount(class int) (n int) {
	for endpoint := range r.byClass[class].lines {
		if r.included(class, endpoint) {
			n++
		}
	}
	return n
}

// Pick returns the endpoint for an attempt of a request, or "" if its table has none. It prefers endpoints that are not
// ejected and that the request has not tried yet.
func (r *Router) Pick(nowMs float64, class int, key string, tried []string) string {
	t := r.tableFor(class, key)
	c := r.candidatesFor(class, t)
	if len(tried) > 0 || r.lastEjectionEndsMs > nowMs || r.policy.Algorithm == RoundRobin {
		return r.pickFrom(nowMs, t, c, tried)
	}
	first := c.draw(r.random)
	if r.policy.Algorithm == TwoChoices {
		return r.lessBusy(first, c.draw(r.random))
	}
	return first
}

// lessBusy returns the endpoint with fewer attempts in flight, or the first one if they are equal.
func (r *Router) lessBusy(first, second string) string {
	if r.inFlight[second] < r.inFlight[first] {
		return second
	}
	return first
}

// pickFrom picks an endpoint by the configured algorithm from the preferred candidates, or returns "" if there are
// none.
func (r *Router) pickFrom(nowMs float64, t *table, c *candidates, tried []string) string {
	names := r.preferred(nowMs, c, tried)
	if len(names) == 0 {
		return ""
	}
	switch r.policy.Algorithm {
	case RoundRobin:
		return t.nextRoundRobin(names)
	case TwoChoices:
		first := t.drawAmong(r.random, names)
		return r.lessBusy(first, t.drawAmong(r.random, names))
	}
	return t.drawAmong(r.random, names)
}

// preferred returns the candidates that are neither ejected nor already tried. If there are none, it returns all
// untried candidates; if all were tried, it returns all candidates.
func (r *Router) preferred(nowMs float64, c *candidates, tried []string) []string {
	var names []string
	for _, endpoint := range c.names {
		if !r.isEjected(endpoint, nowMs) && !slices.Contains(tried, endpoint) {
			names = append(names, endpoint)
		}
	}
	if len(names) > 0 {
		return names
	}
	for _, endpoint := range c.names {
		if !slices.Contains(tried, endpoint) {
			names = append(names, endpoint)
		}
	}
	if len(names) > 0 {
		return names
	}
	return c.names
}

// drawAmong returns a random endpoint of names with probability proportional to its weight in the table.
func (t *table) drawAmong(random *rand.Rand, names []string) string {
	weightSum := 0.0
	for _, endpoint := range names {
		weightSum += t.lines[endpoint]
	}
	remaining := random.Float64() * weightSum
	for _, endpoint := range names {
		if remaining -= t.lines[endpoint]; remaining < 0 {
			return endpoint
		}
	}
	return names[len(names)-1] // reached only through floating-point rounding
}

// nextRoundRobin picks the next endpoint by smooth weighted round robin: the credit of each endpoint grows by its
// weight, the endpoint with the highest credit is picked, and the sum of the weights is subtracted from its credit.
func (t *table) nextRoundRobin(names []string) string {
	weightSum := 0.0
	best := names[0]
	for _, endpoint := range names {
		weightSum += t.lines[endpoint]
		t.roundRobinCredit[endpoint] += t.lines[endpoint]
		if t.roundRobinCredit[endpoint] > t.roundRobinCredit[best] {
			best = endpoint
		}
	}
	t.roundRobinCredit[best] -= weightSum
	return best
}

// candidatesFor returns the endpoints of a table that may be picked for a class. The result is cached in the table,
// except while exclusions of the previous stream apply, because these can differ between classes that share the table.
func (r *Router) candidatesFor(class int, t *table) *candidates {
	cacheable := len(r.previouslyExcluded) == 0
	if t.cached != nil && cacheable {
		return t.cached
	}
	c := &candidates{}
	for _, endpoint := range slices.Sorted(maps.Keys(t.lines)) {
		if r.included(class, endpoint) {
			c.names = append(c.names, endpoint)
			c.weights = append(c.weights, t.lines[endpoint])
			c.weightSum += t.lines[endpoint]
		}
	}
	if cacheable {
		t.cached = c
	}
	return c
}

// invalidateCandidates clears the cached candidates of all tables. It must be called after any change to table lines or
// exclusions.
func (r *Router) invalidateCandidates() {
	for _, t := range r.tables {
		t.cached = nil
	}
	for _, t := range r.byClass {
		t.cached = nil
	}
}
