package telemetry

// zoneEndpoint is the key of a sum of attempts: those that the proxies of a zone made at an endpoint.
type zoneEndpoint struct{ endpoint, zone int }

// proxyClass is the key of a sum of requests: those of one class that a proxy received.
type proxyClass struct{ proxy, class int }

// sum accumulates the reported attempts of one zoneEndpoint, or the reported requests of one proxyClass, since its last
// flush. Its values are weighted by age unless noted otherwise.
type sum[L any] struct {
	zoneEndpoint zoneEndpoint // key, unless isRequestSum
	proxyClass   proxyClass   // key, if isRequestSum
	isRequestSum bool

	queued     bool // the sum is among the pending sums
	urgent     bool // the sum is flushed before sums that are not urgent
	queuedAtMs float64

	attempts  float64 // attempts, or requests if isRequestSum
	failed    float64 // failed attempts, or unanswered requests if isRequestSum
	succeeded float64
	busyMs    float64 // total duration of successful attempts
	weight    float64 // total weight of the added reports, by which ageMs is divided
	ageMs     float64 // weighted total of the ages of the added reports
	spanMs    float64 // total covered time, only if isRequestSum

	zoneCoveredMs float64 // zone.coveredMs at the last flush
	carry         float64 // rounding remainder of the attempts at the last flush, from -0.5 to 0.5; not weighted

	load      L // newest load report of the endpoint, valid if hasLoad
	hasLoad   bool
	loadEndMs float64 // end of the period of the report that contained load
}

// rescale multiplies all weighted values by a factor.
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

// addAge adds the mean age of the values of a report to the weighted total of ages.
func (s *sum[L]) addAge(c contribution) {
	s.weight += c.weight
	s.ageMs += c.weight * (c.ageMs + c.spanMs/2)
}

// failing reports whether more than failingFraction of the attempts failed.
func (s *sum[L]) failing() bool {
	return s.failed > failingFraction*s.attempts && s.failed > 0
}

// reset empties a sum after it was flushed or evicted. The next flush counts only the time that the reports of the zone
// cover from now on.
func (a *Aggregator[L]) reset(s *sum[L]) {
	if s.isRequestSum {
		*s = sum[L]{proxyClass: s.proxyClass, isRequestSum: true}
		return
	}
	*s = sum[L]{zoneEndpoint: s.zoneEndpoint, zoneCoveredMs: a.zone(s.zoneEndpoint.zone).coveredMs, carry: s.carry}
}
