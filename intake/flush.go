package intake

import (
	"cmp"
	"math"
	"slices"

	"indigousher/brain"
)

// smallestDivisor stands for a sum that is zero where it is divided by.
const smallestDivisor = 1e-300

// Met is what the proxies of a zone saw at an endpoint, as it is passed on. Load is the newest load report.
type Met[L any] struct {
	Endpoint, Zone int
	Tries, Failed  float64 // attempts: whole, with what rounding leaves carried to the next flush; failures are not
	MeanMs, SpanMs float64 // mean time of a successful attempt; time covered, as a mean of the zone's proxies
	Load           L
	HasLoad        bool
}

// Note returns the sum in the planner's form. What ageing leaves of few failures is rounded up to one, so that a
// failure that was seen is passed on.
func (m *Met[L]) Note(load brain.Load) brain.Met {
	attempts := round(m.Tries)
	failed := round(m.Failed)
	if m.Failed > 0 {
		failed = max(failed, 1)
	}
	return brain.Met{
		Endpoint: m.Endpoint,
		Zone:     m.Zone,
		Tries:    max(attempts, failed),
		Failed:   failed,
		MeanMs:   m.MeanMs,
		SpanMs:   m.SpanMs,
		Load:     load,
	}
}

// Told is what one period passes on.
type Told[L any] struct {
	Mets    []Met[L]
	Demands []brain.Demand
	Ages    []float64 // mean age of what each line sums up, ms
	Left    int       // sums that remain pending
}

// Tell passes on what may be since sinceMs ago: urgent sums first, then those that have been pending longest, whoever
// sent most.
func (a *Intake[L]) Tell(nowMs, sinceMs float64) (out Told[L]) {
	a.rescale(nowMs)
	n := a.flushLimit(sinceMs)
	if n < len(a.pending) {
		slices.SortStableFunc(a.pending, byUrgency[L])
	}
	weight := a.decay.weight(nowMs)
	for _, s := range a.pending[:n] {
		out.Ages = append(out.Ages, s.ageMs/math.Max(s.weight, smallestDivisor))
		if s.isDemand {
			out.Demands = append(out.Demands, a.flushDemand(s, weight))
			continue
		}
		if m := a.flushEndpoint(s, weight); m.SpanMs > 0 {
			out.Mets = append(out.Mets, m)
		}
	}
	a.pending = append(a.pending[:0], a.pending[n:]...)
	out.Left = len(a.pending)
	return out
}

// flushLimit returns how many of the pending sums may be passed on for a period of sinceMs; at least one.
func (a *Intake[L]) flushLimit(sinceMs float64) int {
	if a.terms.ToldPerS <= 0 {
		return len(a.pending)
	}
	return min(len(a.pending), max(1, round(a.terms.ToldPerS*sinceMs/1000)))
}

// byUrgency orders urgent sums before others, and then by when they became pending.
func byUrgency[L any](a, b *sum[L]) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.queuedAtMs, b.queuedAtMs)
}

// flushEndpoint returns what a sum amounts to at the moment of the given weight, and begins it anew. Its SpanMs is 0
// if no report of the zone covered any time since the sum was last passed on: then it is no rate.
func (a *Intake[L]) flushEndpoint(s *sum[L], weight float64) Met[L] {
	z := a.zone(s.zoneEndpoint.zone)
	attempts := s.attempts / weight
	m := Met[L]{
		Endpoint: s.zoneEndpoint.endpoint,
		Zone:     s.zoneEndpoint.zone,
		Failed:   s.failed / weight,
		SpanMs:   (z.covered - s.zoneCovered) / weight / math.Max(1, float64(z.senders)),
		Load:     s.load,
		HasLoad:  s.hasLoad,
	}
	if s.succeeded != 0 {
		m.MeanMs = s.busyMs / math.Max(s.succeeded, smallestDivisor)
	}
	if e := a.endpoints[s.zoneEndpoint.endpoint]; e != nil && attempts > 0 {
		e.failing = m.Failed > failingFraction*attempts
	}
	m.Tries = math.Max(0, math.Round(attempts+s.carry)) // the planner counts whole attempts
	s.carry = attempts + s.carry - m.Tries
	a.reset(s)
	return m
}

// flushDemand returns what a sum of requests amounts to at the moment of the given weight, and begins it anew.
func (a *Intake[L]) flushDemand(s *sum[L], weight float64) brain.Demand {
	d := brain.Demand{
		Proxy:      s.proxyClass.proxy,
		Kind:       s.proxyClass.class,
		Reqs:       round(s.attempts / weight),
		Unanswered: round(s.failed / weight),
		SpanMs:     s.spanMs / weight,
	}
	a.reset(s)
	return d
}

// round returns the nearest whole number, halves away from zero.
func round(v float64) int { return int(math.Round(v)) }
