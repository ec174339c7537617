package controller

import "time"

// Clock is the process's own clock. Times of other machines are never compared with it.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once the duration has passed, unless stop is called first. The caller calls
	// stop in any case, so that the timer ends with its use.
	After(time.Duration) (fired <-chan time.Time, stop func() bool)
}

// RealClock is the machine's clock.
type RealClock struct{}

// Now returns the time with the machine's monotonic reading.
func (RealClock) Now() time.Time { return time.Now() }

// After starts a timer.
func (RealClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
