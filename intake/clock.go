package intake

import "math"

// clockOffset estimates how far a sender's clock is from ours: the least difference seen lately is that of a report that
// came straight. Two windows in turn let it follow a clock that drifts or jumps.
type clockOffset struct {
	currentMs, previousMs float64
	sinceMs               float64
	known                 bool
}

// offsetWindowMs is how long a least difference is believed.
const offsetWindowMs = 30000.0

// age returns how long a report has been on its way beyond the shortest known.
func (o *clockOffset) age(nowMs, sentMs float64) float64 {
	d := nowMs - sentMs
	if !o.known || d < math.Min(o.currentMs, o.previousMs)-offsetWindowMs || d > math.Max(o.currentMs, o.previousMs)+offsetWindowMs {
		*o = clockOffset{currentMs: d, previousMs: d, sinceMs: nowMs, known: true} // first, or the clock has jumped
		return 0
	}
	if nowMs-o.sinceMs > offsetWindowMs {
		o.previousMs, o.currentMs, o.sinceMs = o.currentMs, d, nowMs
	}
	o.currentMs = math.Min(o.currentMs, d)
	return math.Max(0, d-math.Min(o.currentMs, o.previousMs))
}
