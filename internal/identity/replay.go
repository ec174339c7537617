package identity

import (
	"slices"
	"time"
)

const (
	// replayWindow is the maximum number of accepted message numbers that are remembered.
	replayWindow = 1024
	// maxNumberAge is how far below the greatest accepted number a number may be. Numbers are times in nanoseconds,
	// see Secret.Seal.
	maxNumberAge = uint64(5 * time.Second)
)

// ReplayFilter detects replayed messages of one sender by their numbers. It accepts each number once, and no number
// that is more than maxNumberAge below the greatest accepted one. The zero value is ready for use. It is not safe for
// concurrent use.
type ReplayFilter struct {
	accepted []uint64 // the greatest accepted numbers, at most replayWindow, in ascending order
	newest   uint64   // the greatest accepted number
}

// Accept reports whether a message with the given number is new, and remembers the number if it is.
func (f *ReplayFilter) Accept(number uint64) bool {
	tooOld := number+maxNumberAge < f.newest
	full := len(f.accepted) == replayWindow
	if tooOld || slices.Contains(f.accepted, number) || full && number < f.accepted[0] {
		return false
	}
	at, _ := slices.BinarySearch(f.accepted, number)
	f.accepted = slices.Insert(f.accepted, at, number)
	if len(f.accepted) > replayWindow {
		f.accepted = slices.Delete(f.accepted, 0, 1)
	}
	f.newest = max(f.newest, number)
	return true
}
