package planner

// MaxValue is the upper bound of every weight, rate and load report value in an event. It keeps sums from overflowing
// to infinity; a single infinity would turn all weights computed from it into NaN.
const MaxValue = 1e9

// ValidRate returns whether an event may carry v as a rate, a time span or a load report value: 0 to MaxValue.
func ValidRate(v float64) bool { return v >= 0 && v <= MaxValue }

// ValidWeight returns whether an event may carry v as a weight: 0 (unspecified), or a value from 1/MaxValue to
// MaxValue, so that ratios of weights stay finite.
func ValidWeight(v float64) bool { return v == 0 || v >= 1/MaxValue && v <= MaxValue }
