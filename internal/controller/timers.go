package controller

import (
	"math"
	"slices"
)

// timer is a wake-up that the decider asked for and that has not fallen due.
type timer struct {
	atMs float64
	name string
}

// timerQueue holds the decider's timers by time; those of one time stand in the order in which they were set.
type timerQueue struct {
	timers []timer
}

// set adds a timer, behind those of the same time.
func (q *timerQueue) set(atMs float64, name string) {
	i := len(q.timers)
	for i > 0 && q.timers[i-1].atMs > atMs {
		i--
	}
	q.timers = slices.Insert(q.timers, i, timer{atMs, name})
}

// due returns when the next timer fires: infinity if none is set.
func (q *timerQueue) due() float64 {
	if len(q.timers) == 0 {
		return math.Inf(1)
	}
	return q.timers[0].atMs
}

// expire removes the timers that are due and returns their names in the order in which they fire.
func (q *timerQueue) expire(nowMs float64) (names []string) {
	fired := 0
	for fired < len(q.timers) && q.timers[fired].atMs <= nowMs {
		names = append(names, q.timers[fired].name)
		fired++
	}
	q.timers = slices.Delete(q.timers, 0, fired)
	return names
}
