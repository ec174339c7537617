package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// candidates are the lines of a table that may be picked, by name, with their weights.
type candidates struct {
	names     []string
	weights   []float64
	weightSum float64
}

// draw draws an endpoint in proportion to the weights, or returns "" if there is none.
func (c *candidates) draw(random *rand.Rand) string {
	if len(c.names) == 0 {
		return ""
	}
	rest := random.Float64() * c.weightSum
	for i, weight := range c.weights {
		if rest -= weight; rest < 0 {
			return c.names[i]
		}
	}
	return c.names[len(c.names)-1] // rounding
}

// included returns whether an endpoint is not excluded for a class.
func (r *Router) included(class int, endpoint string) bool {
	return !r.excluded[endpoint] && (r.assigned[class] || !r.previouslyExcluded[endpoint])
}

// Eligible returns whether a class's table has a line for an endpoint that is not excluded.
func (r *Router) Eligible(class int, endpoint string) bool {
	return r.byClass[class].lines[endpoint] > 0 && r.included(class, endpoint)
}

// EligibleCount returns how many lines of its table a class can be sent by. Ejected endpoints count, as they are picked
// where all are ejected.
func (r *Router) EligibleCount(class int) (n int) {
	for endpoint := range r.byClass[class].lines {
		if r.included(class, endpoint) {
			n++
		}
	}
	return n
}

// Pick returns the endpoint for an attempt of a request, or "" if its table has none. It avoids ejected endpoints and
// those tried before as long as there are others.
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

// lessBusy returns which of two endpoints has fewer requests in flight, the first if they are equal.
func (r *Router) lessBusy(first, second string) string {
	if r.inFlight[second] < r.inFlight[first] {
		return second
	}
	return first
}

// pickFrom picks where some of the candidates may have to be avoided.
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

// preferred returns the candidates that are neither ejected nor tried. If there are none it takes those that are
// ejected, and if there are still none those that were tried.
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

// drawAmong draws one of some endpoints in proportion to their weights.
func (t *table) drawAmong(random *rand.Rand, names []string) string {
	weightSum := 0.0
	for _, endpoint := range names {
		weightSum += t.lines[endpoint]
	}
	rest := random.Float64() * weightSum
	for _, endpoint := range names {
		if rest -= t.lines[endpoint]; rest < 0 {
			return endpoint
		}
	}
	return names[len(names)-1] // rounding
}

// nextRoundRobin is smooth weighted round robin: each endpoint earns its weight as credit, the one with the most
// credit is next and pays the sum of the weights.
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

// candidatesFor returns the lines of a table that may be picked for a class. They are cached unless exclusions of the
// stream before hold, as classes of one table may differ then.
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

// invalidateCandidates drops all cached candidates. Whatever changes lines or exclusions calls it.
func (r *Router) invalidateCandidates() {
	for _, t := range r.tables {
		t.cached = nil
	}
	for _, t := range r.byClass {
		t.cached = nil
	}
}
