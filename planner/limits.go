package planner

// MaxValue bounds every weight, rate and value of a load report that an event may carry. Beyond it sums of a few
// overflow, and one infinity would make not-a-number of all weights that it touches.
const MaxValue = 1e9

// ValidRate returns whether v may stand in an event as a rate or a value of a load report.
func ValidRate(v float64) bool { return v >= 0 && v <= MaxValue }

// ValidWeight returns whether v may stand in an event as a weight: 0, which says nothing, or a figure that others can
// be compared with.
func ValidWeight(v float64) bool { return v == 0 || v >= 1/MaxValue && v <= MaxValue }
