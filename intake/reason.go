package intake

// Reason says what became of a report line: it was merged, or why it was left out or refused.
type Reason int

// The reasons. Lines that were Merged or Sampled count in what is passed on; the others do not.
const (
	Merged    Reason = iota // added to a sum
	Sampled                 // left out by the sample, whose other lines stand for it
	OverShare               // the whole report exceeded its sender's quota; the next one stands for it
	Repeated                // the report's number was seen before, or a later one overtook it
	Late                    // the report was on its way for longer than the limit
	Absurd                  // a figure that cannot be true
	NoSpan                  // lines, but no time that they cover
	Unlisted                // the endpoint is not in the endpoint list
	Restarted               // the report covers only time before the endpoint's restart
	Stranger                // the sender has not joined
	Evicted                 // no room for another pending sum
	reasonCount
)

// reasonNames are the values of the reason label in the exported metrics.
var reasonNames = [reasonCount]string{
	Merged:    "merged",
	Sampled:   "sampled out",
	OverShare: "over its share",
	Repeated:  "repeated",
	Late:      "too late",
	Absurd:    "absurd",
	NoSpan:    "no span",
	Unlisted:  "endpoint not listed",
	Restarted: "endpoint restarted",
	Stranger:  "sender not joined",
	Evicted:   "no room to wait",
}

// String returns the reason's name in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons in the order of their values.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for r := range reasonCount {
		all[r] = r
	}
	return all
}
