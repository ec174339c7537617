package emulator

import (
	"math"
)

// countSharedWork counts off the work done since the last turn: each task in hand gets its part of the cores.
func (m *emulatedEndpoint) countSharedWork(r *endpointProcess) {
	span := m.w.now - max(r.countedAt, min(m.pausedUntil, m.w.now))
	r.countedAt = m.w.now
	n := len(r.sharing)
	if n == 0 || span <= 0 {
		return
	}
	each := min(1, float64(m.Cores)/float64(n)) * m.Speed * m.warmth(r) * span
	for _, t := range r.sharing {
		t.workMs -= each
	}
	r.busyMs += span * float64(min(n, m.Cores))
}

// scheduleSharedEnd wakes when the task with the least work left is done.
func (m *emulatedEndpoint) scheduleSharedEnd(r *endpointProcess) {
	n := len(r.sharing)
	if n == 0 {
		return
	}
	least := math.Inf(1)
	for _, t := range r.sharing {
		least = min(least, t.workMs)
	}
	speed := min(1, float64(m.Cores)/float64(n)) * m.Speed * m.warmth(r)
	r.wakeNumber++
	number := r.wakeNumber
	m.w.After(max(0, least/speed)+max(0, m.pausedUntil-m.w.now), func() {
		if m.process != r || r.wakeNumber != number {
			return
		}
		m.countSharedWork(r)
		kept := r.sharing[:0]
		var done []*task
		for _, t := range r.sharing {
			if t.workMs <= 1e-9 {
				done = append(done, t)
			} else {
				kept = append(kept, t)
			}
		}
		r.sharing = kept
		for _, t := range done {
			m.finish(r, t)
		}
		m.scheduleSharedEnd(r)
	})
}
