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
	crowdedFraction = 0.9
	calmFraction    = 0.5
	calmSeconds     = 3
	quotaHeadroom   = 1.25
	minAdvisedLines = 4 // lines that a sender is never asked to stay below
)

// update sets the factor: at once to what a crowd asks for, back one step at a time.
func (q *quotas) update(all float64, t Terms) {
	most := max(1, t.Slowest)
	switch pace := t.LinesPerS; {
	case all > crowdedFraction*pace:
		q.factor = min(most, max(q.factor, int(math.Ceil(float64(q.factor)*all/(crowdedFraction*pace)))))
		q.calmFor = 0
	case q.factor > 1 && all*float64(q.factor)/float64(q.factor-1) < calmFraction*pace:
		if q.calmFor++; q.calmFor >= calmSeconds {
			q.factor, q.calmFor = q.factor-1, 0
		}
	default:
		q.calmFor = 0
	}
}

// advise returns what has changed for each sender. Those that are released hear of it in turns, an eighth of them a
// second, so that their reports do not come back together.
func (a *Intake[L]) advise() (advice []Advice) {
	q := &a.quotas
	turn := int(q.rebalancedAtMs/1000) % 8
	for _, id := range slices.Sorted(maps.Keys(a.senders)) {
		told := max(1, q.advised[id])
		if told == q.factor || q.factor < told && int(crc32.ChecksumIEEE([]byte{byte(id), byte(id >> 8), byte(id >> 16)}))%8 != turn {
			continue
		}
		q.advised[id] = q.factor
		next := Advice{Sender: id, PeriodMs: a.terms.PeriodMs * float64(q.factor), Changes: q.factor > 2}
		if q.factor > 1 {
			next.Lines = max(minAdvisedLines, int(a.quotas.linesPerS[a.senders[id].zone]*next.PeriodMs/1000))
		}
		advice = append(advice, next)
	}
	maps.DeleteFunc(q.advised, func(id, _ int) bool { return a.senders[id] == nil })
	return advice
}
