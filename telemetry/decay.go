package telemetry

import "math"

// rescaleAfter is the number of half-lives after which weights are rescaled. A weight of 2^200 is far below the largest
// float64, and leaves room for sums of many.
const rescaleAfter = 200

// decay weights figures by age, halving them with each half-life. It is forward decay: the weight of a moment grows
// exponentially with its distance from a landmark, and dividing a weighted sum by the weight of now gives its decayed
// value. So sums need no update as time passes, and adding a figure takes one multiplication.
type decay struct {
	landmarkMs float64 // the moment with weight 1
	halfLifeMs float64
}

// weight returns the weight of a moment.
func (d *decay) weight(atMs float64) float64 {
	return math.Exp2((atMs - d.landmarkMs) / d.halfLifeMs)
}

// meanWeight returns the mean weight over a span that ended at endMs.
func (d *decay) meanWeight(endMs, spanMs float64) float64 {
	x := spanMs / d.halfLifeMs * math.Ln2
	if x < 1e-6 { // the quotient below would lose precision
		return d.weight(endMs)
	}
	return d.weight(endMs) * -math.Expm1(-x) / x
}

// rescaleDue reports whether the landmark is so old that weights may soon leave a float's range.
func (d *decay) rescaleDue(nowMs float64) bool {
	return nowMs-d.landmarkMs >= rescaleAfter*d.halfLifeMs
}

// moveLandmark moves the landmark to now and returns the factor by which all weighted sums have to be multiplied.
func (d *decay) moveLandmark(nowMs float64) (factor float64) {
	factor = 1 / d.weight(nowMs)
	d.landmarkMs = nowMs
	return factor
}
