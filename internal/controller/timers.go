package controller

import (
	"math"
	"slices"
)

// timer is a pending timer of the decider.
type timer struct {
	atMs float64
	name string
}

// timerQueue holds the decider's pending timers, sorted by time. Timers with the same time fire in the order in which
// they were set.
type timerQueue struct {
	timers []timer
}

// set adds a timer after all timers with the same or an earlier time.
func (q *timerQueue) set(atMs float64, name string) {
	i := len(q.timers)
	for i > 0 && q.timers[i-1].atMs > atMs {
		i--
	}
	q.timers = slices.Insert(q.timers, i, timer{atMs, name})
}

// due returns the time of the next timer in ms, or +Inf if there is none.
func (q *timerQueue) due() float64 {
	if len(q.timers) == 0 {
		return math.Inf(1)
	}
	return q.timers[0].atMs
}

// expire removes the timers that are due at nowMs and returns their names in firing order.
func (q *timerQueue) expire(nowMs float64) (names []string) {
	fired := 0
	for fired < len(q.timers) && q.timers[fired].atMs <= nowMs {
		names = append(names, q.timers[fired].name)
		fired++
	}
	q.timers = slices.Delete(q.timers, 0, fired)
	return names
}
