package controller

import (
	"container/heap"
	"math"
	"sort"
)

// alarm is a WakeAt that has not fallen due; number keeps those of one time in order.
type alarm struct {
	atMs   float64
	number int
	name   string
}

// alarms is a heap by time.
type alarms struct {
	list []alarm
	made int
}

func (a *alarms) Len() int      { return len(a.list) }
func (a *alarms) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }
func (a *alarms) Push(x any)    { a.list = append(a.list, x.(alarm)) }
func (a *alarms) Less(i, j int) bool {
	x, y := a.list[i], a.list[j]
	return x.atMs < y.atMs || x.atMs == y.atMs && x.number < y.number
}

func (a *alarms) Pop() any {
	last := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return last
}

func (a *alarms) push(atMs float64, name string) {
	a.made++
	heap.Push(a, alarm{atMs, a.made, name})
}

func (a *alarms) due() float64 {
	if len(a.list) == 0 {
		return math.Inf(1)
	}
	return a.list[0].atMs
}

func (a *alarms) pop(nowMs float64) (due []string) {
	for a.due() <= nowMs {
		due = append(due, heap.Pop(a).(alarm).name)
	}
	return due
}

// within returns how many of the times lie in the span before now, and drops the older ones.
func within(times []float64, nowMs, spanMs float64) []float64 {
	return times[sort.SearchFloat64s(times, nowMs-spanMs):]
}
