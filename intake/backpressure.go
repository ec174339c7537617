package intake

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

const (
	// crowdedFraction of the lines that are taken in a second is where senders are asked to report less often.
	crowdedFraction = 0.9
	// calmFraction of them is what must remain, after a step back, for senders to be asked to report more often again.
	calmFraction = 0.5
	// calmSeconds is for how long it must have been so.
	calmSeconds = 3
	// minAdvisedLines is the number of lines a report that no sender is asked to stay below.
	minAdvisedLines = 4
	// releaseGroups is how many groups the senders are told in that they may report more often, one group a second, so
	// that their reports do not come back together.
	releaseGroups = 8
	// changesOnlyAbove is the slowdown above which only lines that changed are wanted.
	changesOnlyAbove = 2
)

// Advice asks a sender to report otherwise from now on.
type Advice struct {
	Sender   int
	PeriodMs float64 // how often
	Lines    int     // how many lines at most; 0: all
	Changes  bool    // only lines that have changed
}

// slowdown is the back-pressure on senders: by how much less often than ordinarily they are asked to report.
type slowdown struct {
	options Terms
	factor  int         // times the ordinary period
	calmFor int         // seconds for which a step back would have been calm
	advised map[int]int // the factor that each sender was last told; none: 1
}

func newSlowdown(t Terms) slowdown {
	return slowdown{options: t, factor: 1, advised: map[int]int{}}
}

// update sets the factor by the lines that arrived in the last second: at once to what a crowd calls for, back by one
// step at a time.
func (d *slowdown) update(linesPerS float64) {
	limit := d.options.LinesPerS
	crowded := linesPerS > crowdedFraction*limit
	switch {
	case crowded:
		wanted := int(math.Ceil(float64(d.factor) * linesPerS / (crowdedFraction * limit)))
		d.factor = min(max(1, d.options.Slowest), max(d.factor, wanted))
		d.calmFor = 0
	case d.factor > 1 && linesPerS*float64(d.factor)/float64(d.factor-1) < calmFraction*limit:
		d.calmFor++
		if d.calmFor >= calmSeconds {
			d.factor--
			d.calmFor = 0
		}
	default:
		d.calmFor = 0
	}
}

// told returns the factor that a sender was last told.
func (d *slowdown) told(id int) int { return max(1, d.advised[id]) }

// releaseGroup returns the group in which a sender is told that it may report more often.
func releaseGroup(id int) int {
	return int(crc32.ChecksumIEEE([]byte{byte(id), byte(id >> 8), byte(id >> 16)})) % releaseGroups
}

// advise returns what has changed for each sender, in the order of senders. Those that are to slow down hear of it at
// once, those that are released in the second of their group.
func (a *Intake[L]) advise(nowMs float64) (advice []Advice) {
	group := int(nowMs/1000) % releaseGroups
	for _, id := range slices.Sorted(maps.Keys(a.senders)) {
		told := a.slowdown.told(id)
		if told == a.slowdown.factor {
			continue
		}
		released := a.slowdown.factor < told
		if released && releaseGroup(id) != group {
			continue
		}
		a.slowdown.advised[id] = a.slowdown.factor
		advice = append(advice, a.adviceFor(id))
	}
	maps.DeleteFunc(a.slowdown.advised, func(id, _ int) bool { return a.senders[id] == nil })
	return advice
}

// adviceFor returns what a sender is to be told at the present slowdown.
func (a *Intake[L]) adviceFor(id int) Advice {
	factor := a.slowdown.factor
	advice := Advice{Sender: id, PeriodMs: a.terms.PeriodMs * float64(factor), Changes: factor > changesOnlyAbove}
	if factor > 1 {
		linesPerS := a.quotas.linesPerS[a.senders[id].zone]
		advice.Lines = max(minAdvisedLines, int(linesPerS*advice.PeriodMs/1000))
	}
	return advice
}
