package intake

import "math"

// offset estimates how far a sender's clock is from ours: the least difference seen lately is that of a report that
// came straight. Two windows in turn let it follow a clock that drifts or jumps.
type offset struct {
	now, before float64
	since       float64
	known       bool
}

// windowMs is how long a least difference is believed.
const windowMs = 30000.0

// age returns how long a report has been on its way beyond the shortest known.
func (o *offset) age(nowMs, sentMs float64) float64 {
	d := nowMs - sentMs
	if !o.known || d < math.Min(o.now, o.before)-windowMs || d > math.Max(o.now, o.before)+windowMs {
		*o = offset{now: d, before: d, since: nowMs, known: true} // first, or the clock has jumped
		return 0
	}
	if nowMs-o.since > windowMs {
		o.before, o.now, o.since = o.now, d, nowMs
	}
	o.now = math.Min(o.now, d)
	return math.Max(0, d-math.Min(o.now, o.before))
}
