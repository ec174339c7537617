package telemetry

import "math"

// offsetWindowMs is the length in ms of the window over which clockOffset takes a minimum. It is also the distance from
// the known range of differences beyond which a report shows that the sender's clock was set.
const offsetWindowMs = 30000.0

// clockOffset estimates the offset between a sender's clock and the caller's clock. For each report it takes the
// difference between the arrival time and the time at which it was sent. The smallest recent difference belongs to the
// report with the shortest delay, and the excess over it estimates the delay of any other report. The minimum is taken
// over the current and the previous window, so that the estimate follows clock drift. The zero value has seen no
// report.
type clockOffset struct {
	currentMs  float64 // smallest difference in the current window, ms
	previousMs float64 // smallest difference in the previous window, ms
	sinceMs    float64 // start of the current window, ms on the caller's clock
	known      bool    // at least one report has been seen
}

// age updates the estimate with a report and returns, in ms, how much longer the report took than the fastest recent
// one. It returns 0 for the first report and for the first one after the sender's clock was set.
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

// jumped reports whether a difference is so far outside the range of recent differences that the sender's clock must
// have been set.
func (o *clockOffset) jumped(difference float64) bool {
	return difference < math.Min(o.currentMs, o.previousMs)-offsetWindowMs ||
		difference > math.Max(o.currentMs, o.previousMs)+offsetWindowMs
}
