package intake

import "math"

// offsetWindowMs is how long a least difference of clocks is believed, and by how much a difference must leave the
// range of the known ones to count as a jump of the sender's clock.
const offsetWindowMs = 30000.0

// clockOffset estimates how far a sender's clock is from ours. The least difference seen lately is that of a report
// that came straight; what a report is above it, it spent on its way. Two windows in turn let the estimate follow a
// clock that drifts or jumps.
type clockOffset struct {
	currentMs  float64 // least difference in the window that runs
	previousMs float64 // least difference in the window before
	sinceMs    float64 // when the window that runs began, on our clock
	known      bool
}

// age returns how long a report has been on its way beyond the shortest way known, and learns from it.
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

// jumped reports whether a difference is so far from the known ones that the sender's clock must have been set.
func (o *clockOffset) jumped(difference float64) bool {
	return difference < math.Min(o.currentMs, o.previousMs)-offsetWindowMs ||
		difference > math.Max(o.currentMs, o.previousMs)+offsetWindowMs
}
