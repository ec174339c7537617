package telemetry

import "math"

// offsetWindowMs is the length of a window of clockOffset, and also how far outside the known range a difference has to
// be to count as a jump of the sender's clock.
const offsetWindowMs = 30000.0

// clockOffset estimates the offset between a sender's clock and the caller's. The smallest difference seen lately
// belongs to a report with the shortest delay; a report's excess over it is its own delay. The minimum is taken over
// the current and the previous window, so that the estimate follows a clock that drifts.
type clockOffset struct {
	currentMs  float64 // smallest difference in the current window
	previousMs float64 // smallest difference in the previous window
	sinceMs    float64 // start of the current window, on the caller's clock
	known      bool    // a report has been seen
}

// age returns a report's delay beyond the shortest one known, and updates the estimate. It is 0 for the first report
// and after a jump of the sender's clock.
func (o *clockOffset) age(nowMs, sentMs float64) float64 {
	difference := nowMs - sentMs
	if !o.known || o.jumped(difference) {
		*o = clockOffset{currentMs: difference, previousMs: difference, sinceMs: nowMs, known: true}
		return 0
	}
	if nowMs-o.sinceMs > offsetWindowMs {
		o.previousMs = o.currentMs
		o.currentMs = difference
		o.sinceMs = nowMs
	}
	o.currentMs = math.Min(o.currentMs, difference)
	return math.Max(0, difference-math.Min(o.currentMs, o.previousMs))
}

// jumped reports whether a difference is so far outside the known range that the sender's clock must have been set.
func (o *clockOffset) jumped(difference float64) bool {
	return difference < math.Min(o.currentMs, o.previousMs)-offsetWindowMs ||
		difference > math.Max(o.currentMs, o.previousMs)+offsetWindowMs
}
