package intake

import (
	"maps"
	"math"
	"slices"
)

// shares deals out the lines that are taken in a second: by zone, then by sender within its zone, each as much as it
// brings but none more than the part that is left to it (max-min fairness).
type shares struct {
	secondMs float64
	levels   map[int]float64 // by zone: what one sender may bring a second
	factor   int             // times the ordinary period that senders are asked to wait
	calmFor  int             // seconds below the pace
	advised  map[int]int     // the factor that each sender was told
}

func newShares() shares {
	return shares{levels: map[int]float64{}, factor: 1, advised: map[int]int{}}
}

// start is what a sender has when it joins: a second's worth, so that rejoining brings no more than staying.
func (sh *shares) start(t Terms) float64 {
	if t.LinesPerS <= 0 {
		return math.Inf(1)
	}
	return t.LinesPerS
}

// tokens returns the lines that a sender may bring now.
func (sh *shares) tokens(s *sender, nowMs float64, t Terms) float64 {
	if t.LinesPerS <= 0 {
		return math.Inf(1)
	}
	level, dealt := sh.levels[s.zone]
	if !dealt {
		level = t.LinesPerS
	}
	// a sender that reports less often saves up for it
	most := math.Max(2*leastLines, level*math.Max(1, t.PeriodMs*float64(sh.factor)/1000))
	s.tokens = math.Min(most, s.tokens+level*(nowMs-s.at)/1000)
	s.at = nowMs
	return s.tokens
}

// recent is the weighed span that a sum which is new may count as covered: one period of all its zone's senders.
func (sh *shares) recent(z *zone, weight float64, t Terms) float64 {
	return math.Min(z.covered, weight*t.PeriodMs*float64(sh.factor)*float64(z.senders))
}

// fill returns the level up to which each demand is met when all of them share a total.
func fill(total float64, demands []float64) float64 {
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
func (in *Intake[L]) Deal(nowMs float64) (advice []Advice) {
	sh := &in.share
	span := math.Max((nowMs-sh.secondMs)/1000, 0.1)
	sh.secondMs = nowMs
	if in.terms.LinesPerS <= 0 {
		return nil
	}
	byZone, all := map[int][]float64{}, 0.0
	for _, id := range slices.Sorted(maps.Keys(in.senders)) {
		s := in.senders[id]
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
	level := fill(in.terms.LinesPerS, zones)
	for z, demands := range byZone {
		sum := 0.0
		for _, d := range demands {
			sum += d
		}
		sh.levels[z] = fill(math.Min(level, math.Max(sum, 1)*headroom), demands)
		if all <= in.terms.LinesPerS*calmPart { // nobody is held to what it brought
			sh.levels[z] = in.terms.LinesPerS
		}
	}
	sh.turn(all, in.terms)
	return in.advise()
}
