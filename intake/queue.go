package intake

import "slices"

// dequeue takes a sum out of those that wait.
func (a *Intake[L]) dequeue(d *sum[L]) {
	if d.queued {
		a.pending = slices.DeleteFunc(a.pending, func(x *sum[L]) bool { return x == d })
	}
}

// makeRoom returns whether one more sum may wait; for one that is urgent a demand makes way.
func (a *Intake[L]) makeRoom(urgent bool) bool {
	if a.terms.Standing <= 0 || len(a.pending) < a.terms.Standing {
		return true
	}
	if !urgent {
		return false
	}
	i := slices.IndexFunc(a.pending, func(s *sum[L]) bool { return s.isDemand })
	if i < 0 {
		i = slices.IndexFunc(a.pending, func(s *sum[L]) bool { return !s.urgent })
	}
	if i < 0 {
		return false
	}
	a.Counts[Evicted]++
	a.reset(a.pending[i])
	a.pending = slices.Delete(a.pending, i, i+1)
	return true
}

func (a *Intake[L]) enqueue(nowMs float64, m *sum[L]) {
	if !m.queued {
		m.queued, m.queuedAtMs = true, nowMs
		a.pending = append(a.pending, m)
		a.MostOrder = max(a.MostOrder, len(a.pending))
	}
}

// Waiting returns how many sums wait to be passed on.
func (a *Intake[L]) Waiting() int { return len(a.pending) }
