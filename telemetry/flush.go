package telemetry

import (
	"cmp"
	"math"
	"slices"

	"indigousher/planner"
)

// smallestDivisor is used in place of a divisor of zero.
const smallestDivisor = 1e-300

// EndpointSum holds the statistics of the attempts that the proxies of a zone made at an endpoint.
type EndpointSum[L any] struct {
	Endpoint, Zone   int
	Attempts, Failed float64 // Attempts is rounded, and the remainder is added at the next flush; Failed is not rounded
	MeanMs, SpanMs   float64 // mean duration of successful attempts; covered time, averaged over the zone's proxies
	Load             L
	HasLoad          bool
}

// Stats converts the sum to an event of the planner. A positive number of failures that decay has reduced below one is
// rounded up to one, so that every observed failure reaches the planner.
func (m *EndpointSum[L]) Stats(load planner.Load) planner.EndpointStats {
	attempts := round(m.Attempts)
	failed := round(m.Failed)
	if m.Failed > 0 {
		failed = max(failed, 1)
	}
	return planner.EndpointStats{
		Endpoint: m.Endpoint,
		Zone:     m.Zone,
		Attempts: max(attempts, failed),
		Failed:   failed,
		MeanMs:   m.MeanMs,
		SpanMs:   m.SpanMs,
		Load:     load,
	}
}

// Batch holds the sums that one call of Flush returned.
type Batch[L any] struct {
	EndpointSums []EndpointSum[L]
	RequestStats []planner.RequestStats
	AgesMs       []float64 // mean age of the reports in each flushed sum, ms
	Remaining    int       // number of sums that are still pending
}

// Flush returns and resets pending sums, at most as many as Options.FlushedPerS allows for the sinceMs since the last
// flush. Urgent sums come first, then those that have been pending longest, regardless of how much each sender reports.
func (a *Aggregator[L]) Flush(nowMs, sinceMs float64) (out Batch[L]) {
	a.rescale(nowMs)
	n := a.flushLimit(sinceMs)
	if n < len(a.pending) {
		slices.SortStableFunc(a.pending, byUrgency[L])
	}
	weight := a.decay.weight(nowMs)
	for _, s := range a.pending[:n] {
		out.AgesMs = append(out.AgesMs, s.ageMs/math.Max(s.weight, smallestDivisor))
		if s.isRequestSum {
			out.RequestStats = append(out.RequestStats, a.flushRequests(s, weight))
			continue
		}
		if m := a.flushEndpoint(s, weight); m.SpanMs > 0 {
			out.EndpointSums = append(out.EndpointSums, m)
		}
	}
	a.pending = append(a.pending[:0], a.pending[n:]...)
	out.Remaining = len(a.pending)
	return out
}

// flushLimit returns how many pending sums may be flushed sinceMs after the last flush. It is at least one if any sum
// is pending.
func (a *Aggregator[L]) flushLimit(sinceMs float64) int {
	if a.options.FlushedPerS <= 0 {
		return len(a.pending)
	}
	return min(len(a.pending), max(1, round(a.options.FlushedPerS*sinceMs/1000)))
}

// byUrgency is a comparison function that orders urgent sums before others, and then by the time at which they became
// pending.
func byUrgency[L any](a, b *sum[L]) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.queuedAtMs, b.queuedAtMs)
}

// flushEndpoint returns the decayed value of a sum of attempts and resets the sum. weight is the current decay weight.
// SpanMs of the result is 0 if the reports of the zone have covered no time since the last flush, so that there is no
// rate.
func (a *Aggregator[L]) flushEndpoint(s *sum[L], weight float64) EndpointSum[L] {
	z := a.zone(s.zoneEndpoint.zone)
	attempts := s.attempts / weight
	m := EndpointSum[L]{
		Endpoint: s.zoneEndpoint.endpoint,
		Zone:     s.zoneEndpoint.zone,
		Failed:   s.failed / weight,
		SpanMs:   (z.coveredMs - s.zoneCoveredMs) / weight / math.Max(1, float64(z.senders)),
		Load:     s.load,
		HasLoad:  s.hasLoad,
	}
	if s.succeeded != 0 {
		m.MeanMs = s.busyMs / math.Max(s.succeeded, smallestDivisor)
	}
	if e := a.endpoints[s.zoneEndpoint.endpoint]; e != nil && attempts > 0 {
		e.failing = m.Failed > failingFraction*attempts
	}
	m.Attempts = math.Max(0, math.Round(attempts+s.carry)) // the planner takes whole attempts
	s.carry = attempts + s.carry - m.Attempts
	a.reset(s)
	return m
}

// flushRequests returns the decayed value of a sum of requests and resets the sum. weight is the current decay weight.
func (a *Aggregator[L]) flushRequests(s *sum[L], weight float64) planner.RequestStats {
	d := planner.RequestStats{
		Proxy:      s.proxyClass.proxy,
		Class:      s.proxyClass.class,
		Requests:   round(s.attempts / weight),
		Unanswered: round(s.failed / weight),
		SpanMs:     s.spanMs / weight,
	}
	a.reset(s)
	return d
}

// round returns the nearest integer, rounding half away from zero.
func round(v float64) int { return int(math.Round(v)) }
