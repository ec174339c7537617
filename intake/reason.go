package intake

// Reason tells why lines were refused or left out.
type Reason int

// The reasons. Sampled and Merged lines still count in what is passed on; the others don't.
const (
	Merged Reason = iota
	Sampled
	OverShare // a whole report beyond its sender's part; the next one stands for it
	Repeated
	Late
	Absurd
	NoSpan
	Unlisted
	Restarted
	Stranger
	Evicted
	reasonCount
)

// String names a reason, for metrics.
func (r Reason) String() string {
	return [...]string{"merged", "sampled out", "over its share", "repeated", "too late", "absurd", "no span",
		"endpoint not listed", "endpoint restarted", "sender not joined", "no room to wait"}[r]
}

// Reasons returns all reasons.
func Reasons() (all []Reason) {
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}
