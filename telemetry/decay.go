package telemetry

import "math"

// rescaleAfter is the number of half-lives after which weights are rescaled. The largest weight is then 2^200, far
// below the largest float64, so that sums of many weighted values do not overflow.
const rescaleAfter = 200

// decay weights values by age, so that the weight of a value halves with each half-life. It implements forward decay:
// the weight of a point in time grows exponentially with its distance from a fixed landmark, and a weighted sum divided
// by the current weight is the decayed sum. Sums therefore need no update as time passes, and adding a value takes one
// multiplication.
type decay struct {
	landmarkMs float64 // point in time whose weight is 1
	halfLifeMs float64
}

// weight returns the weight of a point in time.
func (d *decay) weight(atMs float64) float64 {
	return math.Exp2((atMs - d.landmarkMs) / d.halfLifeMs)
}

// meanWeight returns the mean weight over the spanMs before endMs.
func (d *decay) meanWeight(endMs, spanMs float64) float64 {
	x := spanMs / d.halfLifeMs * math.Ln2
	if x < 1e-6 { // the quotient below loses precision for small x
		return d.weight(endMs)
	}
	return d.weight(endMs) * -math.Expm1(-x) / x
}

// rescaleDue reports whether the landmark is so old that weights have to be rescaled before they overflow a float64.
func (d *decay) rescaleDue(nowMs float64) bool {
	return nowMs-d.landmarkMs >= rescaleAfter*d.halfLifeMs
}

// moveLandmark moves the landmark to nowMs and returns the factor by which the caller must multiply all weighted sums.
func (d *decay) moveLandmark(nowMs float64) (factor float64) {
	factor = 1 / d.weight(nowMs)
	d.landmarkMs = nowMs
	return factor
}
