package pilot

import (
	"container/heap"
	"math"
)

// timer is a WakeAt that has not fallen due; number keeps those of one time in order.
type timer struct {
	atMs     float64
	sequence int
	name     string
}

// timerQueue is a heap by time.
type timerQueue struct {
	list     []timer
	sequence int
}

func (a *timerQueue) Len() int      { return len(a.list) }
func (a *timerQueue) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }
func (a *timerQueue) Push(x any)    { a.list = append(a.list, x.(timer)) }
func (a *timerQueue) Less(i, j int) bool {
	x, y := a.list[i], a.list[j]
	return x.atMs < y.atMs || x.atMs == y.atMs && x.sequence < y.sequence
}

func (a *timerQueue) Pop() any {
	last := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return last
}

func (a *timerQueue) set(atMs float64, name string) {
	a.sequence++
	heap.Push(a, timer{atMs, a.sequence, name})
}

func (a *timerQueue) due() float64 {
	if len(a.list) == 0 {
		return math.Inf(1)
	}
	return a.list[0].atMs
}

func (a *timerQueue) expire(nowMs float64) (due []string) {
	for a.due() <= nowMs {
		due = append(due, heap.Pop(a).(timer).name)
	}
	return due
}
