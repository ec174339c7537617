package audit

// Report is the whole judgement.
type Report struct {
	Verdicts [ruleCount]Verdict
	Service  Service
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
