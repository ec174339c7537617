package record

import (
	"maps"
	"slices"

	"indigousher/brain"
)

// Figures of the estimate.
const (
	retention    = 0.8 // of an endpoint's counts each period
	minAttempts  = 10  // tries below which an endpoint's figures say nothing
	maxLoadRatio = 1.5 // times the load it was seen at up to which an endpoint is held to answer alike
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
	shares             func() map[int]map[int]float64
	endpoints          map[int]*endpointAnswers // by endpoint
	sum                Estimate                 // not divided yet
	recordedSuccesses  float64
	estimatedSuccesses float64
}

// endpointAnswers is how an endpoint answered lately, and which part of a zone's tries it got.
type endpointAnswers struct{ tries, failed, ms, ok float64 }

func newEstimator(shares func() map[int]map[int]float64) *estimator {
	return &estimator{shares: shares, endpoints: map[int]*endpointAnswers{}}
}

// observe takes in what a period told.
func (e *estimator) observe(notes []brain.Note) {
	zones := map[int]map[int]float64{}
	any := false
	for _, n := range notes {
		m, is := n.(brain.Met)
		if !is || m.Tries == 0 {
			continue
		}
		if !any {
			any = true
			for _, s := range e.endpoints {
				s.tries, s.failed, s.ms, s.ok = s.tries*retention, s.failed*retention, s.ms*retention, s.ok*retention
			}
		}
		e.addStats(m)
		if zones[m.Zone] == nil {
			zones[m.Zone] = map[int]float64{}
		}
		zones[m.Zone][m.Endpoint] += float64(m.Tries)
	}
	if !any {
		return
	}
	shares := e.shares()
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		e.estimateZone(shares[z], zones[z])
	}
}

func (e *estimator) addStats(m brain.Met) {
	s := e.endpoints[m.Endpoint]
	if s == nil {
		s = &endpointAnswers{}
		e.endpoints[m.Endpoint] = s
	}
	ok := float64(m.Tries - m.Failed)
	s.tries += float64(m.Tries)
	s.failed += float64(m.Failed)
	s.ms += ok * m.MeanMs
	s.ok += ok
	e.sum.Recorded += float64(m.Failed)
	e.sum.RecordedMs += ok * m.MeanMs
	e.recordedSuccesses += ok
}

// estimateZone weighs a zone's tries by the shares of the replay's tables.
func (e *estimator) estimateZone(shares, tries map[int]float64) {
	all := 0.0
	for _, i := range slices.Sorted(maps.Keys(tries)) {
		all += tries[i]
	}
	e.sum.Tries += all
	known := 0.0
	order := slices.Sorted(maps.Keys(shares))
	for _, i := range order {
		if s := e.endpoints[i]; s != nil && s.tries >= minAttempts {
			known += shares[i]
		}
	}
	if known == 0 {
		return
	}
	for _, i := range order {
		s, part := e.endpoints[i], shares[i]
		if s == nil || s.tries < minAttempts {
			continue
		}
		n, fails := all*part/known, s.failed/s.tries
		e.sum.Failed += n * fails
		if s.ok > 0 {
			e.sum.MeanMs += n * (1 - fails) * s.ms / s.ok
			e.estimatedSuccesses += n * (1 - fails)
		}
		if n <= maxLoadRatio*tries[i] {
			e.sum.Trusted += all * part
		}
	}
}

// result divides.
func (e *estimator) result() Estimate {
	r := e.sum
	n := max(r.Tries, 1)
	r.Recorded, r.Failed, r.Trusted = r.Recorded/n, r.Failed/n, r.Trusted/n
	r.RecordedMs, r.MeanMs = r.RecordedMs/max(e.recordedSuccesses, 1), r.MeanMs/max(e.estimatedSuccesses, 1)
	return r
}
