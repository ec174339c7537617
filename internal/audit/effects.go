package audit

import (
	"slices"

	"indigousher/internal/config"
	"indigousher/internal/testbed/eventlog"
)

// checkEffect checks the rule SingleEffect: a request of a class that is not replayable takes effect at most once.
func (a *Auditor) checkEffect(e eventlog.Event) {
	class := slices.IndexFunc(a.settings.Kinds, func(c config.RequestClass) bool { return c.Name == e.Kind })
	if class < 0 || a.settings.Kinds[class].Repeats == config.RepeatsReplayable {
		return
	}
	counts := a.effectCounts[e.Kind]
	if counts == nil {
		counts = map[uint64]int{}
		a.effectCounts[e.Kind] = counts
	}
	counts[e.Req]++
	count := counts[e.Req]
	// One effect is a fraction of 0 and two are a fraction of 2, because a count has no values near its limit.
	fraction := float64(count-1) * 2
	a.verdict(SingleEffect).observe(fraction, e.At, e.Who, "%s %d took effect %d times", e.Kind, e.Req, count)
}
