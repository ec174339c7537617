package intake

import "slices"

// forget takes a sum out of those that wait.
func (in *Intake[L]) forget(d *sum[L]) {
	if d.queued {
		in.order = slices.DeleteFunc(in.order, func(x *sum[L]) bool { return x == d })
	}
}

// room returns whether one more sum may wait; for one that is urgent a demand makes way.
func (in *Intake[L]) room(urgent bool) bool {
	if in.terms.Standing <= 0 || len(in.order) < in.terms.Standing {
		return true
	}
	if !urgent {
		return false
	}
	i := slices.IndexFunc(in.order, func(s *sum[L]) bool { return s.ofDemand })
	if i < 0 {
		i = slices.IndexFunc(in.order, func(s *sum[L]) bool { return !s.urgent })
	}
	if i < 0 {
		return false
	}
	in.Counts[Evicted]++
	in.reset(in.order[i])
	in.order = slices.Delete(in.order, i, i+1)
	return true
}

func (in *Intake[L]) queue(nowMs float64, m *sum[L]) {
	if !m.queued {
		m.queued, m.sinceMs = true, nowMs
		in.order = append(in.order, m)
		in.MostOrder = max(in.MostOrder, len(in.order))
	}
}

// Waiting returns how many sums wait to be passed on.
func (in *Intake[L]) Waiting() int { return len(in.order) }
