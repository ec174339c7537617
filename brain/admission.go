package brain

// This file sheds load by priority and sets the retry policy: what a group's tables admit of each class, and which
// classes proxies try again.
//
// A retry is a second attempt that a proxy makes by itself. Three limits hold: policy 2 is ordered only for classes
// that may be repeated after an attempt that may have run, only while few enough attempts fail that most second ones
// help, and only while the endpoints have room for them (retriesHelp). How often a proxy retries at all is the
// proxies' matter.

import (
	"math"
	"math/bits"
	"sort"
)

// updateAdmission denies reqs of a group overloaded as a whole, least payoff for their target (a guess at work) first.
func (r *region) updateAdmission(g int, load float64) {
	order, mask, before := r.planner.shedOrder(), r.planner.groups[g].mask, r.shed[g]
	each := r.planner.demand.perProxy(r.zone) // reqs a second of a proxy
	if load > fullLoad || load > r.planner.targetLoad && r.failureRate > 0.2 {
		r.shed[g] = math.Min(0.9, before+(1-before)*(shedStep+r.failureRate/8))
	} else if load < fullLoad-0.05 {
		r.shed[g] = math.Max(0, shedRelease*before-0.005)
	}
	if (before == 0) != (r.shed[g] == 0) {
		r.planner.logf("zone %d kinds %b: denying %.2f load %.2f fail %.2f", r.zone, mask, r.shed[g], load, r.failureRate)
	}
	usual, some := float64(r.planner.settings.DefaultRetry), r.failureRate > minRetryFailureRate && r.failureRate < maxRetryFailureRate
	again := r.planner.settings.FirstRetryWait <= 1 && some && load*(1+r.failureRate) < maxRetryLoad // else it mostly fails
	left, asked, by := r.shed[g]*float64(bits.OnesCount(uint(mask))), 1e-9, r.planner.settings.Admission
	for k := range r.planner.classes {
		asked += r.planner.demand.ofClass(k)
	}
	for _, k := range order {
		if mask&(1<<k) != 0 {
			cut := pick(by == AdmitByShare || by == AdmitByRate, math.Min(1-minAdmitted, left), 0)
			left -= cut
			level := pick(by == AdmitByRate, unlimitedRate, math.Round(20*(1-cut))/20) // few steps, few messages
			if rate := each / asked * r.planner.demand.ofClass(k); by == AdmitByRate && cut*rate > 0 {
				level = math.Exp2(math.Round(4*math.Log2(-rate*math.Log(cut))) / 4) // proxies spread exponentially
			}
			way := pick(again && r.planner.classes[k].Retryable, 2, usual)
			for p := range r.planner.subsetsOfZone {
				r.planner.publisher.mailbox.enqueue(wantedAdmission{Admit{r.planner.tableNumber(r.zone*r.planner.subsetsOfZone+p, g), 1 << k,
					int(way), level}})
			}
		}
	}
}

func (b *Brain) shedOrder() (order []int) {
	var worth []float64
	for k, of := range b.classes {
		order, worth = append(order, k), append(worth, of.PriorityWeight/of.ResponseTargetMs)
	}
	sort.SliceStable(order, func(i, j int) bool { return worth[order[i]] < worth[order[j]] })
	return order
}
