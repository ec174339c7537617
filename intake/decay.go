package intake

import "math"

// weight is what a moment's figures count, growing with time: later ones count more, and dividing by the weight of
// now gives what is left of each (forward decay).
func (a *Intake[L]) weight(ms float64) float64 {
	return math.Exp2((ms - a.landmark) / a.terms.HalfMs)
}

// meanWeight is the mean weight of a span that ended at a moment.
func (a *Intake[L]) meanWeight(endMs, spanMs float64) float64 {
	x := spanMs / a.terms.HalfMs * math.Ln2
	if x < 1e-6 {
		return a.weight(endMs)
	}
	return a.weight(endMs) * -math.Expm1(-x) / x
}
