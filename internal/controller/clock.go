package controller

import "time"

// Clock is the local clock of the process. Timestamps from other machines are never compared with it.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// After returns a channel that receives the time once the duration has passed, unless stop is called first. The
	// caller must always call stop to release the timer.
	After(time.Duration) (fired <-chan time.Time, stop func() bool)
}

// RealClock is a Clock that uses the system time.
type RealClock struct{}

// Now returns the current time with a monotonic clock reading.
func (RealClock) Now() time.Time { return time.Now() }

// After starts a timer of the time package.
func (RealClock) After(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
