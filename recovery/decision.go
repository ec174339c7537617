package recovery

import (
	"fmt"
)

// maxFailedStarts is how many lives may die as they begin until one begins cold.
const maxFailedStarts = 3

// Facts are what is known of the record at a start. Times are milliseconds.
type Facts struct {
	Lives      int     // recorded before this one
	SameFormat bool    // of the last
	SameModule bool    // what decided then decides now
	SameTerms  bool    // as far as the module reads them
	Turns      int     // that can be read of the last life
	Torn       bool    // something after them can't
	GapMs      float64 // since its last turn, by the machine's clock; negative if that was set back
	SpanMs     float64 // of its turns since the earliest checkpoint that is kept
	Barren     int     // lives before this one, in a row, that left no turn: they died as they began
}

// Bounds are what the terms allow.
type Bounds struct {
	TailMs float64 // of turns to be replayed: what the module's memory reaches back
	GapMs  float64 // beyond which what was known is worth nothing
}

// Verdict says how to begin. ReplayMs is how much of the last life's end is replayed, 0 for a cold start; AwayMs is how
// far its clock has to go on.
type Verdict struct {
	ReplayMs, AwayMs float64
	Why              string
}

// Cold returns whether nothing is replayed.
func (v Verdict) Cold() bool { return v.ReplayMs == 0 }

// Decide weighs the facts.
func Decide(f Facts, b Bounds) Verdict {
	cold := func(format string, args ...any) Verdict {
		return Verdict{Why: "cold start: " + fmt.Sprintf(format, args...)}
	}
	switch {
	case f.Lives == 0:
		return cold("there is no record")
	case !f.SameFormat:
		return cold("the record is of another format")
	case f.Barren >= maxFailedStarts:
		return cold("%d starts in a row died before their first turn", f.Barren)
	case !f.SameModule:
		return cold("the record is of another module")
	case !f.SameTerms:
		return cold("the record is of other terms")
	case f.Turns == 0 || f.SpanMs <= 0:
		return cold("the last life left no turn that can be read")
	case f.GapMs > b.GapMs:
		return cold("the last turn is %.0f s old, %.0f s may be", f.GapMs/1000, b.GapMs/1000)
	}
	v := Verdict{ReplayMs: min(f.SpanMs, b.TailMs), AwayMs: max(0, f.GapMs)}
	v.Why = fmt.Sprintf("recovered from the last %.0f s, away for %.1f s", v.ReplayMs/1000, v.AwayMs/1000)
	if f.Torn {
		v.Why += "; the record's end is torn"
	}
	if f.GapMs < 0 {
		v.Why += "; the clock was set back"
	}
	return v
}
