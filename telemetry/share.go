package telemetry

import (
	"hash/crc32"
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
func (sh *shares) start(t Options) float64 {
	if t.LinesPerS <= 0 {
		return math.Inf(1)
	}
	return t.LinesPerS
}

// tokens returns the lines that a sender may bring now.
func (sh *shares) tokens(s *sender, nowMs float64, t Options) float64 {
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
func (sh *shares) recent(z *zone, weight float64, t Options) float64 {
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

// Rebalance reckons the shares anew from what the last second brought, and what senders are to be asked. It is to be
// called about once a second.
func (in *Aggregator[L]) Rebalance(nowMs float64) (advice []Advice) {
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

// Figures of the advice: beyond which part of the pace senders are slowed, below which they are released, for how long
// it must have been so, and room that a sender's share leaves above what it brought.
const (
	crowdPart  = 0.9
	calmPart   = 0.5
	calmenough = 3
	headroom   = 1.25
	leastAsked = 4 // lines that a sender is never asked to stay below
)

// turn sets the factor: at once to what a crowd asks for, back one step at a time.
func (sh *shares) turn(all float64, t Options) {
	most := max(1, t.Slowest)
	switch pace := t.LinesPerS; {
	case all > crowdPart*pace:
		sh.factor = min(most, max(sh.factor, int(math.Ceil(float64(sh.factor)*all/(crowdPart*pace)))))
		sh.calmFor = 0
	case sh.factor > 1 && all*float64(sh.factor)/float64(sh.factor-1) < calmPart*pace:
		if sh.calmFor++; sh.calmFor >= calmenough {
			sh.factor, sh.calmFor = sh.factor-1, 0
		}
	default:
		sh.calmFor = 0
	}
}

// advise returns what has changed for each sender. Those that are released hear of it in turns, an eighth of them a
// second, so that their reports do not come back together.
func (in *Aggregator[L]) advise() (advice []Advice) {
	sh := &in.share
	turn := int(sh.secondMs/1000) % 8
	for _, id := range slices.Sorted(maps.Keys(in.senders)) {
		told := max(1, sh.advised[id])
		if told == sh.factor || sh.factor < told && int(crc32.ChecksumIEEE([]byte{byte(id), byte(id >> 8), byte(id >> 16)}))%8 != turn {
			continue
		}
		sh.advised[id] = sh.factor
		a := Advice{Sender: id, PeriodMs: in.terms.PeriodMs * float64(sh.factor), Changes: sh.factor > 2}
		if sh.factor > 1 {
			a.Lines = max(leastAsked, int(in.share.levels[in.senders[id].zone]*a.PeriodMs/1000))
		}
		advice = append(advice, a)
	}
	maps.DeleteFunc(sh.advised, func(id, _ int) bool { return in.senders[id] == nil })
	return advice
}

// offset estimates how far a sender's clock is from ours: the least difference seen lately is that of a report that
// came straight. Two windows in turn let it follow a clock that drifts or jumps.
type offset struct {
	now, before float64
	since       float64
	known       bool
}

// windowMs is how long a least difference is believed.
const windowMs = 30000.0

// age returns how long a report has been on its way beyond the shortest known.
func (o *offset) age(nowMs, sentMs float64) float64 {
	d := nowMs - sentMs
	if !o.known || d < math.Min(o.now, o.before)-windowMs || d > math.Max(o.now, o.before)+windowMs {
		*o = offset{now: d, before: d, since: nowMs, known: true} // first, or the clock has jumped
		return 0
	}
	if nowMs-o.since > windowMs {
		o.before, o.now, o.since = o.now, d, nowMs
	}
	o.now = math.Min(o.now, d)
	return math.Max(0, d-math.Min(o.now, o.before))
}
