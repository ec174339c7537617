package intake

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

// Advice asks a sender to report otherwise: how often, how many lines at most (0: all), and only what has changed.
type Advice struct {
	Sender   int
	PeriodMs float64
	Lines    int
	Changes  bool
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
func (sh *shares) turn(all float64, t Terms) {
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
func (in *Intake[L]) advise() (advice []Advice) {
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
