package telemetry

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

const (
	// crowdedFraction of the limit is the load above which senders are asked to report less often.
	highLoadFraction = 0.9
	// calmFraction of the limit is the load below which the slowdown is reduced: the load expected after the reduction.
	lowLoadFraction = 0.5
	// calmSeconds is how long the load must have been that low.
	lowLoadSeconds = 3
	// minAdvisedLines is the smallest number of lines per report that a sender is asked to keep to.
	minAdvisedLines = 4
	// releaseGroups is the number of groups in which senders are released, one group a second, so that their reports do
	// not return all at once.
	releaseGroups = 8
	// changesOnlyAbove is the slowdown above which senders are asked for changed lines only.
	changesOnlyAbove = 2
)

// Advice asks a sender to change how it reports.
type Advice struct {
	Sender      int
	PeriodMs    float64 // interval between reports
	MaxLines    int     // largest number of lines in a report; 0: no limit
	ChangedOnly bool    // report changed lines only
}

// slowdown is the back-pressure on senders: the factor by which they are asked to stretch their report period.
type slowdown struct {
	options    Options
	factor     int         // 1: the configured period
	lowLoadFor int         // seconds for which the load has been low
	advised    map[int]int // by sender: the factor it was last asked for; absent: 1
}

func newSlowdown(o Options) slowdown {
	return slowdown{options: o, factor: 1, advised: map[int]int{}}
}

// update adjusts the factor to the lines per second that arrived: up at once, as far as needed, and down one step at a
// time.
func (d *slowdown) update(linesPerS float64) {
	limit := d.options.LinesPerS
	overloaded := linesPerS > highLoadFraction*limit
	switch {
	case overloaded:
		required := int(math.Ceil(float64(d.factor) * linesPerS / (highLoadFraction * limit)))
		d.factor = min(max(1, d.options.MaxSlowdown), max(d.factor, required))
		d.lowLoadFor = 0
	case d.factor > 1 && linesPerS*float64(d.factor)/float64(d.factor-1) < lowLoadFraction*limit:
		d.lowLoadFor++
		if d.lowLoadFor >= lowLoadSeconds {
			d.factor--
			d.lowLoadFor = 0
		}
	default:
		d.lowLoadFor = 0
	}
}

// lastAdvised returns the factor that a sender was last asked for.
func (d *slowdown) lastAdvised(id int) int { return max(1, d.advised[id]) }

// releaseGroup returns the group in which a sender is released.
func releaseGroup(id int) int {
	return int(crc32.ChecksumIEEE([]byte{byte(id), byte(id >> 8), byte(id >> 16)})) % releaseGroups
}

// advise returns advice for each sender whose factor has changed, in the order of senders. Senders are slowed down at
// once, and released when it is their group's turn.
func (a *Aggregator[L]) advise(nowMs float64) (advice []Advice) {
	group := int(nowMs/1000) % releaseGroups
	for _, id := range slices.Sorted(maps.Keys(a.senders)) {
		last := a.slowdown.lastAdvised(id)
		if last == a.slowdown.factor {
			continue
		}
		released := a.slowdown.factor < last
		if released && releaseGroup(id) != group {
			continue
		}
		a.slowdown.advised[id] = a.slowdown.factor
		advice = append(advice, a.adviceFor(id))
	}
	maps.DeleteFunc(a.slowdown.advised, func(id, _ int) bool { return a.senders[id] == nil })
	return advice
}

// adviceFor returns the advice for a sender at the present slowdown.
func (a *Aggregator[L]) adviceFor(id int) Advice {
	factor := a.slowdown.factor
	advice := Advice{Sender: id, PeriodMs: a.options.PeriodMs * float64(factor), ChangedOnly: factor > changesOnlyAbove}
	if factor > 1 {
		linesPerS := a.quotas.linesPerS[a.senders[id].zone]
		advice.MaxLines = max(minAdvisedLines, int(linesPerS*advice.PeriodMs/1000))
	}
	return advice
}
