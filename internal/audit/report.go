package audit

// Report is the result of auditing one run of a scenario.
type Report struct {
	Verdicts [RuleCount]Verdict // indexed by Rule
	Service  Service            // what the clients received
}

// newReport returns a report without observations, in which every rule counts as kept.
func newReport() *Report {
	r := &Report{}
	for i := range r.Verdicts {
		r.Verdicts[i].Rule = Rule(i)
	}
	return r
}

// Kept returns whether no rule was violated.
func (r *Report) Kept() bool {
	for i := range r.Verdicts {
		if !r.Verdicts[i].Kept() {
			return false
		}
	}
	return true
}
