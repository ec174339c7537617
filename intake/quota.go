package intake

import (
	"maps"
	"math"
	"slices"
)

const (
	// quotaHeadroom is the room that a zone's quota leaves above what the zone brought.
	quotaHeadroom = 1.25
	// minRebalanceS is the least time between two rebalances that rates are reckoned with, in seconds.
	minRebalanceS = 0.1
)

// quotas deal out the report lines that are taken in a second: by zone, then by sender within the zone, each as much as
// it brings but none more than its max-min fair share. A sender spends its quota from a token bucket.
type quotas struct {
	options        Terms
	linesPerS      map[int]float64 // by zone: what one sender may bring in a second
	rebalancedAtMs float64
}

func newQuotas(t Terms) quotas {
	return quotas{options: t, linesPerS: map[int]float64{}}
}

// unlimited reports whether all lines are taken.
func (q *quotas) unlimited() bool { return q.options.LinesPerS <= 0 }

// initial returns the tokens of a sender that joins: a second's worth, so that rejoining brings no more than staying.
func (q *quotas) initial() float64 {
	if q.unlimited() {
		return math.Inf(1)
	}
	return q.options.LinesPerS
}

// refill adds the tokens that a sender has earned since it was last asked for, and returns what it has. A sender that
// was asked to report slowdown times less often saves up for as long.
func (q *quotas) refill(s *sender, nowMs float64, slowdown int) float64 {
	if q.unlimited() {
		return math.Inf(1)
	}
	linesPerS, known := q.linesPerS[s.zone]
	if !known {
		linesPerS = q.options.LinesPerS
	}
	limit := math.Max(2*minLines, linesPerS*math.Max(1, q.options.PeriodMs*float64(slowdown)/1000))
	s.tokens = math.Min(limit, s.tokens+linesPerS*(nowMs-s.tokensAtMs)/1000)
	s.tokensAtMs = nowMs
	return s.tokens
}

// set reckons the quotas from what the senders of each zone offered, in lines a second, and all of them together.
func (q *quotas) set(offered map[int][]float64, total float64) {
	byZone := make(map[int]float64, len(offered))
	demands := make([]float64, 0, len(offered))
	for zoneID, senders := range offered {
		byZone[zoneID] = add(senders)
		demands = append(demands, byZone[zoneID])
	}
	zoneLimit := fairShare(q.options.LinesPerS, demands)
	for zoneID, senders := range offered {
		if total <= q.options.LinesPerS*calmFraction { // nobody is held to what it brought
			q.linesPerS[zoneID] = q.options.LinesPerS
			continue
		}
		limit := math.Min(zoneLimit, math.Max(byZone[zoneID], 1)*quotaHeadroom)
		q.linesPerS[zoneID] = fairShare(limit, senders)
	}
}

// add returns the sum of some figures, added up in their order.
func add(figures []float64) float64 {
	total := 0.0
	for _, v := range figures {
		total += v
	}
	return total
}

// fairShare returns the max-min fair share of a total: the level up to which each demand is met when all of them
// together take no more than the total; infinite if all are met in full. It sorts demands.
func fairShare(total float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		level := total / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		total -= demand
	}
	return math.Inf(1)
}

// Deal sets the senders' quotas from what they brought since the last call, and returns what they are to be asked. It
// is to be called about once a second.
func (a *Intake[L]) Deal(nowMs float64) []Advice {
	elapsedS := math.Max((nowMs-a.quotas.rebalancedAtMs)/1000, minRebalanceS)
	a.quotas.rebalancedAtMs = nowMs
	if a.quotas.unlimited() {
		return nil
	}
	offered, total := a.takeOffered(elapsedS)
	a.quotas.set(offered, total)
	a.slowdown.update(total)
	return a.advise(nowMs)
}

// takeOffered returns the lines a second that each sender offered, by zone and in the order of the senders, and their
// total; the counts begin anew.
func (a *Intake[L]) takeOffered(elapsedS float64) (byZone map[int][]float64, total float64) {
	byZone = map[int][]float64{}
	for _, id := range slices.Sorted(maps.Keys(a.senders)) {
		s := a.senders[id]
		linesPerS := s.offered / elapsedS
		byZone[s.zone] = append(byZone[s.zone], linesPerS)
		total += linesPerS
		s.offered = 0
	}
	return byZone, total
}
