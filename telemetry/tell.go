package telemetry

import (
	"cmp"
	"math"
	"slices"

	"indigousher/planner"
)

// Batch is what one period passes on.
type Batch[L any] struct {
	Mets    []EndpointSum[L]
	Demands []planner.RequestStats
	Ages    []float64 // of each line, ms
	Left    int       // sums that wait further
}

// Flush passes on what a period may: what is urgent first, then what has waited longest, whoever sent most.
func (in *Aggregator[L]) Flush(nowMs, sinceMs float64) (out Batch[L]) {
	in.rescale(nowMs)
	n := len(in.order)
	if in.terms.ToldPerS > 0 {
		n = min(n, max(1, int(math.Round(in.terms.ToldPerS*sinceMs/1000))))
	}
	if n < len(in.order) {
		slices.SortStableFunc(in.order, func(a, b *sum[L]) int {
			if a.urgent != b.urgent {
				return map[bool]int{true: -1, false: 1}[a.urgent]
			}
			return cmp.Compare(a.sinceMs, b.sinceMs)
		})
	}
	now := in.weight(nowMs)
	for _, s := range in.order[:n] {
		out.Ages = append(out.Ages, s.ages/math.Max(s.weights, 1e-300))
		if s.ofDemand {
			out.Demands = append(out.Demands, in.tellDemand(s, now))
		} else if m, ok := in.tellMet(s, now); ok {
			out.Mets = append(out.Mets, m)
		}
	}
	in.order = append(in.order[:0], in.order[n:]...)
	out.Left = len(in.order)
	return out
}

// tellMet turns a sum into what it stands for now and begins it anew.
func (in *Aggregator[L]) tellMet(s *sum[L], now float64) (m EndpointSum[L], ok bool) {
	z := in.zone(s.met.zone)
	m = EndpointSum[L]{Endpoint: s.met.endpoint, Zone: s.met.zone, Tries: s.tries / now, Failed: s.failed / now,
		MeanMs: s.work / math.Max(s.good, 1e-300), Load: s.load, HasLoad: s.hasLoad}
	m.SpanMs = (z.covered - s.covered) / now / math.Max(1, float64(z.senders))
	if s.good == 0 {
		m.MeanMs = 0
	}
	if e := in.endpoints[s.met.endpoint]; e != nil && m.Tries > 0 {
		e.failing = m.Failed > failingPart*m.Tries
	}
	whole := math.Max(0, math.Round(m.Tries+s.carry)) // the module counts in whole tries
	s.carry = m.Tries + s.carry - whole
	m.Tries = whole
	in.reset(s)
	return m, m.SpanMs > 0
}

func (in *Aggregator[L]) tellDemand(s *sum[L], now float64) planner.RequestStats {
	d := planner.RequestStats{Proxy: s.demand.proxy, Class: s.demand.kind, Requests: round(s.tries / now),
		Unanswered: round(s.failed / now), SpanMs: s.span / now}
	in.reset(s)
	return d
}

func round(v float64) int { return int(math.Round(v)) }

// Stats returns a sum in the module's form. What is left of few failures after ageing is rounded up to one, so that one
// which was seen is told.
func (m *EndpointSum[L]) Stats(load planner.Load) planner.EndpointStats {
	tries, failed := round(m.Tries), round(m.Failed)
	if m.Failed > 0 {
		failed = max(failed, 1)
	}
	return planner.EndpointStats{Endpoint: m.Endpoint, Zone: m.Zone, Attempts: max(tries, failed), Failed: failed, MeanMs: m.MeanMs,
		SpanMs: m.SpanMs, Load: load}
}
