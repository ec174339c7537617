package keys

import (
	"slices"
	"time"
)

// Once tells repeats of numbered messages from one sender: each number counts once, and none far below the newest.
// Its zero value has seen nothing.
type Once struct {
	accepted []uint64
	newest   uint64
}

// Figures of Once: numbers kept, and how far below the newest one may lie, in units of numbers (ns).
const (
	replayWindow = 1024
	maxNumberAge = uint64(5 * time.Second)
)

// New returns whether a number is met for the first time.
func (o *Once) New(number uint64) bool {
	if number+maxNumberAge < o.newest || slices.Contains(o.accepted, number) ||
		len(o.accepted) == replayWindow && number < o.accepted[0] {
		return false
	}
	at, _ := slices.BinarySearch(o.accepted, number)
	o.accepted = slices.Insert(o.accepted, at, number)
	if len(o.accepted) > replayWindow {
		o.accepted = slices.Delete(o.accepted, 0, 1)
	}
	o.newest = max(o.newest, number)
	return true
}
