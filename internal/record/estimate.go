package record

import (
	"maps"
	"slices"

	"indigousher/planner"
)

// Figures of the estimate.
const (
	remembers  = 0.8 // of an endpoint's counts each period
	enoughMet  = 10  // tries below which an endpoint's figures say nothing
	mostBeyond = 1.5 // times the load it was seen at up to which an endpoint is held to answer alike
)

// Estimate is what a replay's tables would have met, as far as the recorded day can tell: each endpoint's tries fail and
// take as they did then, weighed by the part that the tables give it. Recorded is what was met in truth, so that an
// estimate for the recorded terms shows how far it can be trusted; Trusted is the part of the tries that went where the
// record has enough tries at a like load. What more or less load would have changed it can't tell.
type Estimate struct {
	Tries              float64
	Recorded, Failed   float64 // parts that failed, then and by these tables
	RecordedMs, MeanMs float64 // of those that succeeded
	Trusted            float64 // part of the tries
}

// estimator adds up an estimate.
type estimator struct {
	shares func() map[int]map[int]float64
	seen   map[int]*seen // by endpoint
	sum    Estimate      // not divided yet
	okThen float64
	okNow  float64
}

// seen is how an endpoint answered lately, and which part of a zone's tries it got.
type seen struct{ tries, failed, ms, ok float64 }

func newEstimator(shares func() map[int]map[int]float64) *estimator {
	return &estimator{shares: shares, seen: map[int]*seen{}}
}

// notes takes in what a period told.
func (e *estimator) notes(notes []planner.Event) {
	zones := map[int]map[int]float64{}
	any := false
	for _, n := range notes {
		m, is := n.(planner.EndpointStats)
		if !is || m.Attempts == 0 {
			continue
		}
		if !any {
			any = true
			for _, s := range e.seen {
				s.tries, s.failed, s.ms, s.ok = s.tries*remembers, s.failed*remembers, s.ms*remembers, s.ok*remembers
			}
		}
		e.met(m)
		if zones[m.Zone] == nil {
			zones[m.Zone] = map[int]float64{}
		}
		zones[m.Zone][m.Endpoint] += float64(m.Attempts)
	}
	if !any {
		return
	}
	shares := e.shares()
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		e.zone(shares[z], zones[z])
	}
}

func (e *estimator) met(m planner.EndpointStats) {
	s := e.seen[m.Endpoint]
	if s == nil {
		s = &seen{}
		e.seen[m.Endpoint] = s
	}
	ok := float64(m.Attempts - m.Failed)
	s.tries += float64(m.Attempts)
	s.failed += float64(m.Failed)
	s.ms += ok * m.MeanMs
	s.ok += ok
	e.sum.Recorded += float64(m.Failed)
	e.sum.RecordedMs += ok * m.MeanMs
	e.okThen += ok
}

// zone weighs a zone's tries by the shares of the replay's tables.
func (e *estimator) zone(shares, tries map[int]float64) {
	all := 0.0
	for _, i := range slices.Sorted(maps.Keys(tries)) {
		all += tries[i]
	}
	e.sum.Tries += all
	known := 0.0
	order := slices.Sorted(maps.Keys(shares))
	for _, i := range order {
		if s := e.seen[i]; s != nil && s.tries >= enoughMet {
			known += shares[i]
		}
	}
	if known == 0 {
		return
	}
	for _, i := range order {
		s, part := e.seen[i], shares[i]
		if s == nil || s.tries < enoughMet {
			continue
		}
		n, fails := all*part/known, s.failed/s.tries
		e.sum.Failed += n * fails
		if s.ok > 0 {
			e.sum.MeanMs += n * (1 - fails) * s.ms / s.ok
			e.okNow += n * (1 - fails)
		}
		if n <= mostBeyond*tries[i] {
			e.sum.Trusted += all * part
		}
	}
}

// result divides.
func (e *estimator) result() Estimate {
	r := e.sum
	n := max(r.Tries, 1)
	r.Recorded, r.Failed, r.Trusted = r.Recorded/n, r.Failed/n, r.Trusted/n
	r.RecordedMs, r.MeanMs = r.RecordedMs/max(e.okThen, 1), r.MeanMs/max(e.okNow, 1)
	return r
}
