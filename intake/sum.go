package intake

type zoneEndpoint struct{ endpoint, zone int }

type proxyClass struct{ proxy, class int }

// sum is one line that waits, weighed.
type sum[L any] struct {
	zoneEndpoint      zoneEndpoint
	proxyClass        proxyClass
	isDemand          bool
	queued, urgent    bool
	queuedAtMs        float64 // when it began to wait
	attempts, failed  float64
	succeeded, busyMs float64
	weight, ageMs     float64 // of the contributions, for their mean age
	spanMs            float64 // of demand: covered
	zoneCovered       float64 // of a zone when this was last told
	carry             float64 // what rounding left of the tries last told
	load              L
	hasLoad           bool
	loadEndMs         float64 // when the load report was sent, as far as known
}

// rescale multiplies all that is weighed.
func (s *sum[L]) rescale(f float64) {
	s.attempts, s.failed, s.succeeded, s.busyMs = s.attempts*f, s.failed*f, s.succeeded*f, s.busyMs*f
	s.weight, s.ageMs, s.spanMs, s.zoneCovered = s.weight*f, s.ageMs*f, s.spanMs*f, s.zoneCovered*f
}

// reset begins a sum anew: nothing waits of it, and what its zone has covered so far is not its own.
func (a *Intake[L]) reset(s *sum[L]) {
	if s.isDemand {
		*s = sum[L]{proxyClass: s.proxyClass, isDemand: true}
		return
	}
	*s = sum[L]{zoneEndpoint: s.zoneEndpoint, zoneCovered: a.zone(s.zoneEndpoint.zone).covered, carry: s.carry}
}
