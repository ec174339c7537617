package keys

import (
	"slices"
	"time"
)

// Once tells repeats of numbered messages from one sender: each number counts once, and none far below the newest.
// Its zero value has seen nothing.
type Once struct {
	seen   []uint64
	newest uint64
}

// Figures of Once: numbers kept, and how far below the newest one may lie, in units of numbers (ns).
const (
	onceKeeps  = 1024
	onceWithin = uint64(5 * time.Second)
)

// New returns whether a number is met for the first time.
func (o *Once) New(number uint64) bool {
	if number+onceWithin < o.newest || slices.Contains(o.seen, number) ||
		len(o.seen) == onceKeeps && number < o.seen[0] {
		return false
	}
	at, _ := slices.BinarySearch(o.seen, number)
	o.seen = slices.Insert(o.seen, at, number)
	if len(o.seen) > onceKeeps {
		o.seen = slices.Delete(o.seen, 0, 1)
	}
	o.newest = max(o.newest, number)
	return true
}
