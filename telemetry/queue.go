package telemetry

import "slices"

// enqueue adds a sum to the pending sums, unless it is already among them.
func (a *Aggregator[L]) enqueue(nowMs float64, s *sum[L]) {
	if s.queued {
		return
	}
	s.queued = true
	s.queuedAtMs = nowMs
	a.pending = append(a.pending, s)
	a.MaxPending = max(a.MaxPending, len(a.pending))
}

// dequeue removes a sum from the pending sums.
func (a *Aggregator[L]) dequeue(s *sum[L]) {
	if s.queued {
		a.pending = slices.DeleteFunc(a.pending, func(other *sum[L]) bool { return other == s })
	}
}

// makeRoom reports whether one more sum may become pending. If the limit is reached and the new sum is urgent, it
// evicts the oldest pending sum of requests, or else the oldest sum that is not urgent.
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

// Pending returns the number of sums that wait for the next flush.
func (a *Aggregator[L]) Pending() int { return len(a.pending) }
