package telemetry

import (
	"maps"
	"math"
	"slices"
)

const (
	// quotaHeadroom is the factor by which a zone's quota may exceed the lines that the zone sent, so that its load can
	// grow.
	quotaHeadroom = 1.25
	// minRebalanceS is the shortest interval in seconds over which Rebalance computes a rate.
	minRebalanceS = 0.1
)

// quotas holds the limits on report lines per second. The total is divided among zones, and the quota of a zone among
// its senders, by max-min fairness: each gets what it sends, up to its fair share. The quota of a sender is the refill
// rate of its token bucket.
type quotas struct {
	options        Options
	linesPerS      map[int]float64 // lines per second that each sender of a zone may send, by zone
	rebalancedAtMs float64
}

func newQuotas(o Options) quotas {
	return quotas{options: o, linesPerS: map[int]float64{}}
}

// unlimited reports whether there is no limit on report lines.
func (q *quotas) unlimited() bool { return q.options.LinesPerS <= 0 }

// initial returns the number of tokens, in lines, with which a new sender starts: one second at the total limit, so
// that a sender gains nothing by reconnecting.
func (q *quotas) initial() float64 {
	if q.unlimited() {
		return math.Inf(1)
	}
	return q.options.LinesPerS
}

// refill adds the tokens for the time since the last refill to a sender's bucket, and returns the number of tokens in
// it. The capacity of the bucket is the quota for one report period, whose length is multiplied by slowdown.
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

// set computes the quotas from the lines per second that each sender sent, grouped by zone, and their total.
func (q *quotas) set(offered map[int][]float64, total float64) {
	byZone := make(map[int]float64, len(offered))
	demands := make([]float64, 0, len(offered))
	for zoneID, senders := range offered {
		byZone[zoneID] = sumInOrder(senders)
		demands = append(demands, byZone[zoneID])
	}
	zoneLimit := fairShare(q.options.LinesPerS, demands)
	for zoneID, senders := range offered {
		if total <= q.options.LinesPerS*lowLoadFraction { // far below the limit, which applies to each sender
			q.linesPerS[zoneID] = q.options.LinesPerS
			continue
		}
		limit := math.Min(zoneLimit, math.Max(byZone[zoneID], 1)*quotaHeadroom)
		q.linesPerS[zoneID] = fairShare(limit, senders)
	}
}

// sumInOrder returns the sum of values, added in their order so that the result is reproducible.
func sumInOrder(figures []float64) float64 {
	total := 0.0
	for _, v := range figures {
		total += v
	}
	return total
}

// fairShare returns the max-min fair share of a total: the largest amount such that the total suffices if no demand
// gets more than it. It returns +Inf if the total covers all demands. It sorts demands in place.
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

// Rebalance recomputes the quotas and the slowdown of senders from the lines that were sent since the last call, and
// returns advice for the senders whose slowdown changed. The caller calls it about once per second.
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

// takeOffered returns the lines per second that each sender sent since the last call, grouped by zone and ordered by
// sender ID, and their total. It resets the counters.
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
