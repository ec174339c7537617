package intake

import (
	"maps"
	"math"
	"slices"
)

// quotas deal out the lines that are taken in a second: by zone, then by sender within its zone, each as much as it
// brings but none more than the part that is left to it (max-min fairness).
type quotas struct {
	rebalancedAtMs float64
	linesPerS      map[int]float64 // by zone: what one sender may bring a second
	factor         int             // times the ordinary period that senders are asked to wait
	calmFor        int             // seconds below the pace
	advised        map[int]int     // the factor that each sender was told
}

func newQuotas() quotas {
	return quotas{linesPerS: map[int]float64{}, factor: 1, advised: map[int]int{}}
}

// initial is what a sender has when it joins: a second's worth, so that rejoining brings no more than staying.
func (q *quotas) initial(t Terms) float64 {
	if t.LinesPerS <= 0 {
		return math.Inf(1)
	}
	return t.LinesPerS
}

// refill returns the lines that a sender may bring now.
func (q *quotas) refill(s *sender, nowMs float64, t Terms) float64 {
	if t.LinesPerS <= 0 {
		return math.Inf(1)
	}
	level, dealt := q.linesPerS[s.zone]
	if !dealt {
		level = t.LinesPerS
	}
	// a sender that reports less often saves up for it
	most := math.Max(2*minLines, level*math.Max(1, t.PeriodMs*float64(q.factor)/1000))
	s.tokens = math.Min(most, s.tokens+level*(nowMs-s.tokensAtMs)/1000)
	s.tokensAtMs = nowMs
	return s.tokens
}

// recentlyCovered is the weighed span that a sum which is new may count as covered: one period of all its zone's senders.
func (q *quotas) recentlyCovered(z *zone, weight float64, t Terms) float64 {
	return math.Min(z.covered, weight*t.PeriodMs*float64(q.factor)*float64(z.senders))
}

// fairShare returns the level up to which each demand is met when all of them share a total.
func fairShare(total float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, d := range demands {
		level := total / float64(len(demands)-i)
		if d >= level {
			return level
		}
		total -= d
	}
	return math.Inf(1)
}

// Deal reckons the shares anew from what the last second brought, and what senders are to be asked. It is to be
// called about once a second.
func (a *Intake[L]) Deal(nowMs float64) (advice []Advice) {
	q := &a.quotas
	span := math.Max((nowMs-q.rebalancedAtMs)/1000, 0.1)
	q.rebalancedAtMs = nowMs
	if a.terms.LinesPerS <= 0 {
		return nil
	}
	byZone, all := map[int][]float64{}, 0.0
	for _, id := range slices.Sorted(maps.Keys(a.senders)) {
		s := a.senders[id]
		byZone[s.zone] = append(byZone[s.zone], s.offered/span)
		all += s.offered / span
		s.offered = 0
	}
	var zones []float64
	for _, demands := range byZone {
		sum := 0.0
		for _, d := range demands {
			sum += d
		}
		zones = append(zones, sum)
	}
	level := fairShare(a.terms.LinesPerS, zones)
	for z, demands := range byZone {
		sum := 0.0
		for _, d := range demands {
			sum += d
		}
		q.linesPerS[z] = fairShare(math.Min(level, math.Max(sum, 1)*quotaHeadroom), demands)
		if all <= a.terms.LinesPerS*calmFraction { // nobody is held to what it brought
			q.linesPerS[z] = a.terms.LinesPerS
		}
	}
	q.update(all, a.terms)
	return a.advise()
}
