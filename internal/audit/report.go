package audit

// Report is the whole judgement on one run of a scenario.
type Report struct {
	Verdicts [RuleCount]Verdict // by Rule
	Service  Service
}

// newReport returns a report in which no rule has been observed yet.
func newReport() *Report {
	r := &Report{}
	for i := range r.Verdicts {
		r.Verdicts[i].Rule = Rule(i)
	}
	return r
}

// Kept returns whether all rules held.
func (r *Report) Kept() bool {
	for i := range r.Verdicts {
		if !r.Verdicts[i].Kept() {
			return false
		}
	}
	return true
}
