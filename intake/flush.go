package intake

import (
	"cmp"
	"math"
	"slices"

	"indigousher/brain"
)

// Met is a sum that is passed on: brain.Met but for the load report, with its age.
type Met[L any] struct {
	Endpoint, Zone int
	Tries, Failed  float64
	MeanMs, SpanMs float64
	Load           L
	HasLoad        bool
}

// Told is what one period passes on.
type Told[L any] struct {
	Mets    []Met[L]
	Demands []brain.Demand
	Ages    []float64 // of each line, ms
	Left    int       // sums that wait further
}

// Tell passes on what a period may: what is urgent first, then what has waited longest, whoever sent most.
func (a *Intake[L]) Tell(nowMs, sinceMs float64) (out Told[L]) {
	a.rescale(nowMs)
	n := len(a.pending)
	if a.terms.ToldPerS > 0 {
		n = min(n, max(1, int(math.Round(a.terms.ToldPerS*sinceMs/1000))))
	}
	if n < len(a.pending) {
		slices.SortStableFunc(a.pending, func(a, b *sum[L]) int {
			if a.urgent != b.urgent {
				return map[bool]int{true: -1, false: 1}[a.urgent]
			}
			return cmp.Compare(a.queuedAtMs, b.queuedAtMs)
		})
	}
	now := a.weight(nowMs)
	for _, s := range a.pending[:n] {
		out.Ages = append(out.Ages, s.ageMs/math.Max(s.weight, 1e-300))
		if s.isDemand {
			out.Demands = append(out.Demands, a.flushDemand(s, now))
		} else if m, ok := a.flushEndpoint(s, now); ok {
			out.Mets = append(out.Mets, m)
		}
	}
	a.pending = append(a.pending[:0], a.pending[n:]...)
	out.Left = len(a.pending)
	return out
}

// flushEndpoint turns a sum into what it stands for now and begins it anew.
func (a *Intake[L]) flushEndpoint(s *sum[L], now float64) (m Met[L], ok bool) {
	z := a.zone(s.zoneEndpoint.zone)
	m = Met[L]{Endpoint: s.zoneEndpoint.endpoint, Zone: s.zoneEndpoint.zone, Tries: s.attempts / now, Failed: s.failed / now,
		MeanMs: s.busyMs / math.Max(s.succeeded, 1e-300), Load: s.load, HasLoad: s.hasLoad}
	m.SpanMs = (z.covered - s.zoneCovered) / now / math.Max(1, float64(z.senders))
	if s.succeeded == 0 {
		m.MeanMs = 0
	}
	if e := a.endpoints[s.zoneEndpoint.endpoint]; e != nil && m.Tries > 0 {
		e.failing = m.Failed > failingFraction*m.Tries
	}
	whole := math.Max(0, math.Round(m.Tries+s.carry)) // the module counts in whole tries
	s.carry = m.Tries + s.carry - whole
	m.Tries = whole
	a.reset(s)
	return m, m.SpanMs > 0
}

func (a *Intake[L]) flushDemand(s *sum[L], now float64) brain.Demand {
	d := brain.Demand{Proxy: s.proxyClass.proxy, Kind: s.proxyClass.class, Reqs: round(s.attempts / now),
		Unanswered: round(s.failed / now), SpanMs: s.spanMs / now}
	a.reset(s)
	return d
}

func round(v float64) int { return int(math.Round(v)) }

// Note returns a sum in the module's form. What is left of few failures after ageing is rounded up to one, so that one
// which was seen is told.
func (m *Met[L]) Note(load brain.Load) brain.Met {
	tries, failed := round(m.Tries), round(m.Failed)
	if m.Failed > 0 {
		failed = max(failed, 1)
	}
	return brain.Met{Endpoint: m.Endpoint, Zone: m.Zone, Tries: max(tries, failed), Failed: failed, MeanMs: m.MeanMs,
		SpanMs: m.SpanMs, Load: load}
}
