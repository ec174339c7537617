package telemetry

// Reason is the outcome of processing a report line: either it was merged, or why it was dropped.
type Reason int

// The outcomes of a report line. Lines that were Merged or Sampled are represented in the flushed sums.
const (
	Merged        Reason = iota // the line was added to a sum
	Sampled                     // the line was dropped by sampling; the counts of kept lines are scaled up to represent it
	OverQuota                   // the sender's quota is exhausted; the next accepted report counts for this one too
	Repeated                    // the sequence number is not higher than that of the newest report
	Late                        // the delivery delay of the report exceeds Options.MaxAgeMs
	Implausible                 // a count or duration is negative, not a number or too large
	NoSpan                      // the report has lines but covers a period of length zero
	Unlisted                    // the endpoint is not in the current endpoint list
	Restarted                   // the report covers only time before the endpoint's restart
	UnknownSender               // the sender has no open stream
	Evicted                     // too many sums were pending
	reasonCount
)

// reasonNames holds the values of the reason label in the exported metrics.
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

// String returns the value of the reason label in metrics.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons in ascending order, so that it can be indexed by Reason.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for r := range reasonCount {
		all[r] = r
	}
	return all
}
