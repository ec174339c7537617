package telemetry

import (
	"maps"
	"math"
	"slices"
)

const (
	// quotaHeadroom is the factor by which a zone's quota may exceed what the zone offered, so that it can grow.
	quotaHeadroom = 1.25
	// minRebalanceS is the shortest time in seconds over which a rate is computed.
	minRebalanceS = 0.1
)

// quotas divide the report lines accepted per second among the zones, and a zone's lines among its senders, by max-min
// fairness: each gets what it offers, up to its fair share. A sender's quota fills a token bucket.
type quotas struct {
	options        Options
	linesPerS      map[int]float64 // by zone: the quota of one sender
	rebalancedAtMs float64
}

func newQuotas(o Options) quotas {
	return quotas{options: o, linesPerS: map[int]float64{}}
}

// unlimited reports whether all lines are accepted.
func (q *quotas) unlimited() bool { return q.options.LinesPerS <= 0 }

// initial returns the tokens of a new sender: one second's worth, so that nothing is gained by joining again.
func (q *quotas) initial() float64 {
	if q.unlimited() {
		return math.Inf(1)
	}
	return q.options.LinesPerS
}

// refill adds the tokens earned since the last refill to a sender's bucket, and returns its tokens. The bucket holds
// one report period, which slowdown stretches.
func (q *quotas) refill(s *sender, nowMs float64, slowdown int) float64 {
	if q.unlimited() {
		return math.Inf(1)
	}
	linesPerS, known := q.linesPerS[s.zone]
	if !known {
		linesPerS = q.options.LinesPerS
	}
	limit := math.Max(2*minQuotaLines, linesPerS*math.Max(1, q.options.PeriodMs*float64(slowdown)/1000))
	s.tokens = math.Min(limit, s.tokens+linesPerS*(nowMs-s.tokensAtMs)/1000)
	s.tokensAtMs = nowMs
	return s.tokens
}

// set computes the quotas from the lines per second that each sender offered, by zone, and their total.
func (q *quotas) set(offered map[int][]float64, total float64) {
	byZone := make(map[int]float64, len(offered))
	demands := make([]float64, 0, len(offered))
	for zoneID, senders := range offered {
		byZone[zoneID] = sumInOrder(senders)
		demands = append(demands, byZone[zoneID])
	}
	zoneLimit := fairShare(q.options.LinesPerS, demands)
	for zoneID, senders := range offered {
		if total <= q.options.LinesPerS*lowLoadFraction { // far below the limit: no sender is held to what it offered
			q.linesPerS[zoneID] = q.options.LinesPerS
			continue
		}
		limit := math.Min(zoneLimit, math.Max(byZone[zoneID], 1)*quotaHeadroom)
		q.linesPerS[zoneID] = fairShare(limit, senders)
	}
}

// add returns the sum of figures, added in their order.
func sumInOrder(figures []float64) float64 {
	total := 0.0
	for _, v := range figures {
		total += v
	}
	return total
}

// fairShare returns the max-min fair share of a total: the level up to which every demand is met. It is infinite if the
// total meets all demands in full. It sorts demands.
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

// Rebalance recomputes the senders' quotas and the slowdown from what was offered since the last call, and returns
// advice for the senders whose slowdown changed. It is called about once a second.
func (a *Aggregator[L]) Rebalance(nowMs float64) []Advice {
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

// takeOffered returns the lines per second that each sender offered, by zone and in the order of the senders, and their
// total. It resets the counts.
func (a *Aggregator[L]) takeOffered(elapsedS float64) (byZone map[int][]float64, total float64) {
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
