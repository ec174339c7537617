package intake

import "math"

// rescaleAfter is how many half-lives weights may grow before they are rescaled: 2^200 is far from the range's end.
const rescaleAfter = 200

// decay weighs figures by age, half at each half-life, by forward decay: the weight of a moment grows with time from a
// landmark, and dividing a weighed sum by the weight of now gives what is left of it. So nothing has to be decayed
// line by line, and merging is one multiplication.
type decay struct {
	landmarkMs float64 // the moment of weight 1
	halfLifeMs float64
}

// weight returns the weight of a moment.
func (d *decay) weight(atMs float64) float64 {
	return math.Exp2((atMs - d.landmarkMs) / d.halfLifeMs)
}

// meanWeight returns the mean weight over a span that ended at endMs.
func (d *decay) meanWeight(endMs, spanMs float64) float64 {
	x := spanMs / d.halfLifeMs * math.Ln2
	if x < 1e-6 { // the quotient below would lose its digits
		return d.weight(endMs)
	}
	return d.weight(endMs) * -math.Expm1(-x) / x
}

// rescaleDue reports whether the landmark is to be moved up, before weights grow out of a float's range.
func (d *decay) rescaleDue(nowMs float64) bool {
	return nowMs-d.landmarkMs >= rescaleAfter*d.halfLifeMs
}

// moveLandmark moves the landmark up to now and returns the factor by which all weighed sums are to be multiplied.
func (d *decay) moveLandmark(nowMs float64) (factor float64) {
	factor = 1 / d.weight(nowMs)
	d.landmarkMs = nowMs
	return factor
}
