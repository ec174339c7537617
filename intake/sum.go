package intake

// zoneEndpoint names the sum of what the proxies of a zone saw at an endpoint.
type zoneEndpoint struct{ endpoint, zone int }

// proxyClass names the sum of the requests of one class that came to a proxy.
type proxyClass struct{ proxy, class int }

// sum is what is known of one zoneEndpoint or one proxyClass since it was last passed on. All its figures are weighed
// by decay; the aggregator rescales them together.
type sum[L any] struct {
	zoneEndpoint zoneEndpoint // what it is of, unless isDemand
	proxyClass   proxyClass   // what it is of, if isDemand
	isDemand     bool

	queued     bool // it is pending
	urgent     bool // it is to be passed on before those that are not
	queuedAtMs float64

	attempts  float64 // of demand: requests
	failed    float64 // of demand: requests that were not answered
	succeeded float64
	busyMs    float64 // time of all attempts that succeeded
	weight    float64 // of the contributions, for their mean age
	ageMs     float64 // of the contributions, each times its weight
	spanMs    float64 // of demand: time covered

	zoneCovered float64 // what the zone's reports had covered when this sum was last passed on
	carry       float64 // attempts that rounding left over when it was last passed on; not weighed

	load      L // the newest load report of the endpoint
	hasLoad   bool
	loadEndMs float64 // end of the span of the report that brought it
}

// rescale multiplies all that is weighed.
func (s *sum[L]) rescale(factor float64) {
	s.attempts *= factor
	s.failed *= factor
	s.succeeded *= factor
	s.busyMs *= factor
	s.weight *= factor
	s.ageMs *= factor
	s.spanMs *= factor
	s.zoneCovered *= factor
}

// addAge notes the mean age of a contribution's figures.
func (s *sum[L]) addAge(c contribution) {
	s.weight += c.weight
	s.ageMs += c.weight * (c.ageMs + c.spanMs/2)
}

// failing reports whether so many of the attempts failed that the endpoint counts as failing.
func (s *sum[L]) failing() bool {
	return s.failed > failingFraction*s.attempts && s.failed > 0
}

// reset begins a sum anew after it was passed on or evicted. What its zone's reports have covered so far does not count
// for it any more.
func (a *Intake[L]) reset(s *sum[L]) {
	if s.isDemand {
		*s = sum[L]{proxyClass: s.proxyClass, isDemand: true}
		return
	}
	*s = sum[L]{zoneEndpoint: s.zoneEndpoint, zoneCovered: a.zone(s.zoneEndpoint.zone).covered, carry: s.carry}
}
