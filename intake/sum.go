package intake

type metKey struct{ endpoint, zone int }

type demandKey struct{ proxy, kind int }

// sum is one line that waits, weighed.
type sum[L any] struct {
	met            metKey
	demand         demandKey
	ofDemand       bool
	queued, urgent bool
	sinceMs        float64 // when it began to wait
	tries, failed  float64
	good, work     float64
	weights, ages  float64 // of the contributions, for their mean age
	span           float64 // of demand: covered
	covered        float64 // of a zone when this was last told
	carry          float64 // what rounding left of the tries last told
	load           L
	hasLoad        bool
	loadAt         float64 // when the load report was sent, as far as known
}

// rescale multiplies all that is weighed.
func (s *sum[L]) rescale(f float64) {
	s.tries, s.failed, s.good, s.work = s.tries*f, s.failed*f, s.good*f, s.work*f
	s.weights, s.ages, s.span, s.covered = s.weights*f, s.ages*f, s.span*f, s.covered*f
}

// reset begins a sum anew: nothing waits of it, and what its zone has covered so far is not its own.
func (in *Intake[L]) reset(s *sum[L]) {
	if s.ofDemand {
		*s = sum[L]{demand: s.demand, ofDemand: true}
		return
	}
	*s = sum[L]{met: s.met, covered: in.zone(s.met.zone).covered, carry: s.carry}
}
