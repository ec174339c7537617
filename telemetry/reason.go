package telemetry

// Reason says what became of a report line: that it was merged, or why it was left out or rejected.
type Reason int

// The reasons. Lines that were Merged or Sampled are represented in what is flushed; the others are not.
const (
	Merged        Reason = iota // added to a sum
	Sampled                     // not drawn; the scaled figures of the drawn lines represent it
	OverQuota                   // the sender's quota is used up; the next report represents this one
	Repeated                    // the sequence number is not above the newest one
	Late                        // the report was in transit for too long
	Implausible                 // implausible figures
	NoSpan                      // the report has lines but covers no time
	Unlisted                    // the endpoint is not in the endpoint list
	Restarted                   // the report only covers time before the endpoint's restart
	UnknownSender               // the sender has not joined
	Evicted                     // too many sums are pending
	reasonCount
)

// reasonNames are the values of the reason label in the exported metrics.
var reasonNames = [reasonCount]string{
	Merged:        "merged",
	Sampled:       "sampled out",
	OverQuota:     "over its share",
	Repeated:      "repeated",
	Late:          "too late",
	Implausible:   "absurd",
	NoSpan:        "no span",
	Unlisted:      "endpoint not listed",
	Restarted:     "endpoint restarted",
	UnknownSender: "sender not joined",
	Evicted:       "no room to wait",
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
