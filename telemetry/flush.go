package telemetry

import (
	"cmp"
	"math"
	"slices"

	"indigousher/planner"
)

// smallestDivisor replaces a divisor of zero.
const smallestDivisor = 1e-300

// EndpointSum is what the proxies of a zone observed at an endpoint. Load is the endpoint's newest load report.
type EndpointSum[L any] struct {
	Endpoint, Zone   int
	Attempts, Failed float64 // attempts, rounded with a carry to the next flush, and failures, not rounded
	MeanMs, SpanMs   float64 // mean time of the successful attempts; time covered, averaged over the zone's proxies
	Load             L
	HasLoad          bool
}

// Stats converts the sum to the planner's event. What decay leaves of a few failures is rounded up to one, so that no
// observed failure is lost.
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

// Batch is what one flush passes on to the planner.
type Batch[L any] struct {
	EndpointSums []EndpointSum[L]
	RequestStats []planner.RequestStats
	AgesMs       []float64 // by flushed sum: mean age of its contributions, ms
	Remaining    int       // sums that remain pending
}

// Flush flushes pending sums, as many as the limit allows for the sinceMs since the last flush: urgent ones first, then
// those that have been pending longest. It does not matter how much a sender reports.
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

// flushLimit returns how many pending sums may be flushed for a period of sinceMs; at least one, if there is one.
func (a *Aggregator[L]) flushLimit(sinceMs float64) int {
	if a.options.FlushedPerS <= 0 {
		return len(a.pending)
	}
	return min(len(a.pending), max(1, round(a.options.FlushedPerS*sinceMs/1000)))
}

// byUrgency orders urgent sums before others, and otherwise by the time at which they became pending.
func byUrgency[L any](a, b *sum[L]) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.queuedAtMs, b.queuedAtMs)
}

// flushEndpoint returns a sum's decayed value, given the weight of now, and resets the sum. SpanMs is 0 if the zone's
// reports have covered no time since the last flush, in which case there is no rate.
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
	m.Attempts = math.Max(0, math.Round(attempts+s.carry)) // the planner counts whole attempts
	s.carry = attempts + s.carry - m.Attempts
	a.reset(s)
	return m
}

// flushDemand returns the decayed value of a sum of requests, given the weight of now, and resets the sum.
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
