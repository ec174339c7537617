package audit

import (
	"indigousher/internal/testbed/eventlog"
)

func (a *Auditor) checkEffect(e eventlog.Event) {
	for _, k := range a.settings.Kinds {
		if k.Name != e.Kind || k.Repeats == "replayable" {
			continue
		}
		if a.effectCounts[k.Name] == nil {
			a.effectCounts[k.Name] = map[uint64]int{}
		}
		a.effectCounts[k.Name][e.Req]++
		n := a.effectCounts[k.Name][e.Req]
		a.report.Verdicts[SingleEffect].observe(float64(n-1)*2, e.At, e.Who, "%s %d took effect %d times", k.Name, e.Req, n)
	}
}
