package telemetry

import (
	"hash/crc32"
	"maps"
	"math"
	"slices"
)

const (
	// highLoadFraction is the fraction of the line limit above which senders are asked to report less often.
	highLoadFraction = 0.9
	// lowLoadFraction is the fraction of the line limit below which the slowdown is reduced. It is compared with the
	// load that is expected after the reduction.
	lowLoadFraction = 0.5
	// lowLoadSeconds is the time in seconds for which the load must stay below lowLoadFraction before the slowdown is
	// reduced.
	lowLoadSeconds = 3
	// minAdvisedLines is the smallest limit on the lines of a report that a sender is asked to apply.
	minAdvisedLines = 4
	// releaseGroups is the number of groups into which senders are divided when the slowdown is reduced. One group per
	// second returns to shorter report periods, so that the load does not rise all at once.
	releaseGroups = 8
	// changesOnlyAbove is the slowdown factor above which senders are asked to report only lines that have changed.
	changesOnlyAbove = 2
)

// Advice asks a sender to change how often and how much it reports.
type Advice struct {
	Sender      int
	PeriodMs    float64 // interval between reports, ms
	MaxLines    int     // largest number of lines in a report; 0: no limit
	ChangedOnly bool    // report only lines that have changed
}

// slowdown is the state of the back-pressure on senders: the factor by which they are asked to lengthen their report
// period.
type slowdown struct {
	options    Options
	factor     int         // 1 means the configured report period
	lowLoadFor int         // updates in a row, about one per second, at which the load was low
	advised    map[int]int // factor last sent to each sender; a missing entry means 1
}

func newSlowdown(o Options) slowdown {
	return slowdown{options: o, factor: 1, advised: map[int]int{}}
}

// update adjusts the factor to the number of lines that arrived per second. It raises the factor at once as far as
// necessary, and lowers it by one step at a time.
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

// lastAdvised returns the slowdown factor that was last sent to a sender, 1 if none was sent.
func (d *slowdown) lastAdvised(id int) int { return max(1, d.advised[id]) }

// releaseGroup returns the group, from 0 to releaseGroups-1, with which a sender returns to shorter report periods.
func releaseGroup(id int) int {
	return int(crc32.ChecksumIEEE([]byte{byte(id), byte(id >> 8), byte(id >> 16)})) % releaseGroups
}

// advise returns advice for each sender whose factor has changed, ordered by sender ID. A higher factor is sent at
// once, a lower one only in the second that belongs to the sender's release group.
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

// adviceFor returns the advice for a sender at the current slowdown.
func (a *Aggregator[L]) adviceFor(id int) Advice {
	factor := a.slowdown.factor
	advice := Advice{Sender: id, PeriodMs: a.options.PeriodMs * float64(factor), ChangedOnly: factor > changesOnlyAbove}
	if factor > 1 {
		linesPerS := a.quotas.linesPerS[a.senders[id].zone]
		advice.MaxLines = max(minAdvisedLines, int(linesPerS*advice.PeriodMs/1000))
	}
	return advice
}
