package telemetry

import "slices"

// enqueue makes a sum pending if it is not yet.
func (a *Aggregator[L]) enqueue(nowMs float64, s *sum[L]) {
	if s.queued {
		return
	}
	s.queued = true
	s.queuedAtMs = nowMs
	a.pending = append(a.pending, s)
	a.MaxPending = max(a.MaxPending, len(a.pending))
}

// dequeue removes a sum from the pending ones.
func (a *Aggregator[L]) dequeue(s *sum[L]) {
	if s.queued {
		a.pending = slices.DeleteFunc(a.pending, func(other *sum[L]) bool { return other == s })
	}
}

// makeRoom reports whether one more sum may become pending. If necessary it evicts another one for an urgent sum: the
// first demand, or else the first sum that is not urgent.
func (a *Aggregator[L]) makeRoom(urgent bool) bool {
	if a.options.MaxPending <= 0 || len(a.pending) < a.options.MaxPending {
		return true
	}
	if !urgent {
		return false
	}
	victim := slices.IndexFunc(a.pending, func(s *sum[L]) bool { return s.isRequestSum })
	if victim < 0 {
		victim = slices.IndexFunc(a.pending, func(s *sum[L]) bool { return !s.urgent })
	}
	if victim < 0 {
		return false
	}
	a.Counts[Evicted]++
	a.reset(a.pending[victim])
	a.pending = slices.Delete(a.pending, victim, victim+1)
	return true
}

// Pending returns how many sums are pending.
func (a *Aggregator[L]) Pending() int { return len(a.pending) }
