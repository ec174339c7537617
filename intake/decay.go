package intake

import "math"

// weight is what a moment's figures count, growing with time: later ones count more, and dividing by the weight of
// now gives what is left of each (forward decay).
func (in *Intake[L]) weight(ms float64) float64 {
	return math.Exp2((ms - in.landmark) / in.terms.HalfMs)
}

// spread is the mean weight of a span that ended at a moment.
func (in *Intake[L]) spread(endMs, spanMs float64) float64 {
	x := spanMs / in.terms.HalfMs * math.Ln2
	if x < 1e-6 {
		return in.weight(endMs)
	}
	return in.weight(endMs) * -math.Expm1(-x) / x
}
