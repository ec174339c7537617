package identity

import (
	"slices"
	"time"
)

const (
	// replayWindow is the number of accepted numbers that are remembered.
	replayWindow = 1024
	// maxNumberAge is how far below the newest number a number may be. Numbers are times in nanoseconds, see
	// Secret.Seal.
	maxNumberAge = uint64(5 * time.Second)
)

// ReplayFilter is a replay filter for the numbered messages of one sender: it accepts each number once, and none far
// below the newest. The zero value is ready for use. It is not safe for concurrent use.
type ReplayFilter struct {
	accepted []uint64 // the greatest ones, in ascending order
	newest   uint64
}

// Accept reports whether the message with a number is accepted, and remembers the number if it is.
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
