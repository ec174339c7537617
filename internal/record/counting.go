package record

import (
	"indigousher/brain"
	"indigousher/internal/pilot"
)

// countingDecider counts what is ordered.
type countingDecider struct {
	pilot.Decider
	result    *Result
	digest    uint64
	lastMs    float64
	estimator *estimator
}

func (l *countingDecider) Handle(nowMs float64, notes []brain.Note) []brain.Order {
	l.estimator.observe(notes) // by the tables that stand until now
	orders := l.Decider.Handle(nowMs, notes)
	l.digest = Digest(orders)
	for _, o := range orders {
		switch o := o.(type) {
		case brain.SetLine:
			l.result.Sets++
			if o.Weight == 0 {
				l.result.Zeros++
			}
		case brain.Withdraw:
			if o.Out {
				l.result.Withdrawals++
			}
		case brain.Admit:
			if o.Level < 1 {
				l.result.Levels++
			}
		case brain.Bind:
			l.result.Binds++
		}
	}
	return orders
}
