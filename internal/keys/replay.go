package keys

import (
	"slices"
	"time"
)

const (
	// replayWindow is how many of the newest numbers are remembered.
	replayWindow = 1024
	// maxNumberAge is how far below the newest number one may lie. Numbers are times in nanoseconds (Secret.Seal).
	maxNumberAge = uint64(5 * time.Second)
)

// Once tells repeats of numbered messages from one sender: each number is accepted once, and none far below the newest.
// The zero value has accepted nothing. It is not safe for concurrent use.
type Once struct {
	accepted []uint64 // the greatest of them, in their order
	newest   uint64
}

// New reports whether a message of a number is accepted: it was not met before.
func (o *Once) New(number uint64) bool {
	tooOld := number+maxNumberAge < o.newest
	full := len(o.accepted) == replayWindow
	if tooOld || slices.Contains(o.accepted, number) || full && number < o.accepted[0] {
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
