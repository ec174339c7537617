package telemetry

// zoneEndpoint names the sum of what the proxies of a zone saw at an endpoint.
type zoneEndpoint struct{ endpoint, zone int }

// proxyClass names the sum of the requests of one class that came to a proxy.
type proxyClass struct{ proxy, class int }

// sum accumulates what was reported of one zoneEndpoint or one proxyClass since its last flush. Its figures are
// weighted by decay unless noted otherwise.
type sum[L any] struct {
	zoneEndpoint zoneEndpoint // its key, unless isDemand
	proxyClass   proxyClass   // its key, if isDemand
	isRequestSum bool

	queued     bool // it is pending
	urgent     bool // it is flushed before sums that are not
	queuedAtMs float64

	attempts  float64 // demand: requests
	failed    float64 // demand: requests that were not answered
	succeeded float64
	busyMs    float64 // total time of the attempts that succeeded
	weight    float64 // total weight of the contributions, for their mean age
	ageMs     float64 // total of the contributions' ages, each times its weight
	spanMs    float64 // demand only: time covered

	zoneCoveredMs float64 // zone.covered at the last flush
	carry         float64 // attempts that rounding left over at the last flush; not weighted

	load      L // the endpoint's newest load report
	hasLoad   bool
	loadEndMs float64 // end of the span of the report that brought it
}

// rescale multiplies all weighted figures.
func (s *sum[L]) rescale(factor float64) {
	s.attempts *= factor
	s.failed *= factor
	s.succeeded *= factor
	s.busyMs *= factor
	s.weight *= factor
	s.ageMs *= factor
	s.spanMs *= factor
	s.zoneCoveredMs *= factor
}

// addAge adds the mean age of a contribution's figures.
func (s *sum[L]) addAge(c contribution) {
	s.weight += c.weight
	s.ageMs += c.weight * (c.ageMs + c.spanMs/2)
}

// failing reports whether so many of the attempts failed that the endpoint counts as failing.
func (s *sum[L]) failing() bool {
	return s.failed > failingFraction*s.attempts && s.failed > 0
}

// reset empties a sum after it was flushed or evicted. The time that its zone's reports have covered so far is used up.
func (a *Aggregator[L]) reset(s *sum[L]) {
	if s.isRequestSum {
		*s = sum[L]{proxyClass: s.proxyClass, isRequestSum: true}
		return
	}
	*s = sum[L]{zoneEndpoint: s.zoneEndpoint, zoneCoveredMs: a.zone(s.zoneEndpoint.zone).coveredMs, carry: s.carry}
}
