package pilot

import (
	"container/heap"
	"math"
)

// timer is a wake-up that the decider asked for and that has not fallen due. sequence counts the timers set, so that
// those of one time fire in the order in which they were set.
type timer struct {
	atMs     float64
	sequence int
	name     string
}

// timerQueue holds the decider's timers as a heap by time. Its exported methods are those of heap.Interface; the core
// uses set, due and expire.
type timerQueue struct {
	list     []timer
	sequence int // of the timer set last
}

// Len returns how many timers are set.
func (q *timerQueue) Len() int { return len(q.list) }

// Swap exchanges two timers.
func (q *timerQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }

// Push appends a timer.
func (q *timerQueue) Push(x any) { q.list = append(q.list, x.(timer)) }

// Less orders timers by time, then in the order in which they were set.
func (q *timerQueue) Less(i, j int) bool {
	x, y := q.list[i], q.list[j]
	return x.atMs < y.atMs || x.atMs == y.atMs && x.sequence < y.sequence
}

// Pop removes the last timer of the slice.
func (q *timerQueue) Pop() any {
	last := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return last
}

// set adds a timer.
func (q *timerQueue) set(atMs float64, name string) {
	q.sequence++
	heap.Push(q, timer{atMs, q.sequence, name})
}

// due returns when the next timer fires: infinity if none is set.
func (q *timerQueue) due() float64 {
	if len(q.list) == 0 {
		return math.Inf(1)
	}
	return q.list[0].atMs
}

// expire removes the timers that are due and returns their names in the order in which they fire.
func (q *timerQueue) expire(nowMs float64) (names []string) {
	for q.due() <= nowMs {
		names = append(names, heap.Pop(q).(timer).name)
	}
	return names
}
