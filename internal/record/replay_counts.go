package record

import (
	"indigousher/brain"
	"indigousher/internal/pilot"
)

// listener counts what is ordered.
type listener struct {
	pilot.Decider
	r      *Result
	digest uint64
	lastMs float64
	guess  *estimator
}

func (l *listener) Handle(nowMs float64, notes []brain.Note) []brain.Order {
	l.guess.notes(notes) // by the tables that stand until now
	orders := l.Decider.Handle(nowMs, notes)
	l.digest = Digest(orders)
	for _, o := range orders {
		switch o := o.(type) {
		case brain.SetLine:
			l.r.Sets++
			if o.Weight == 0 {
				l.r.Zeros++
			}
		case brain.Withdraw:
			if o.Out {
				l.r.Withdrawals++
			}
		case brain.Admit:
			if o.Level < 1 {
				l.r.Levels++
			}
		case brain.Bind:
			l.r.Binds++
		}
	}
	return orders
}
