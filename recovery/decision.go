package recovery

import "fmt"

// maxFailedStarts is how many lives in a row may end before their first turn until one begins cold: the record itself
// may be what ends them.
const maxFailedStarts = 3

// Facts are what is known of the record at a start.
type Facts struct {
	Runs         int // recorded before this one
	FailedStarts int // of these, the latest in a row that left no turn: they died as they began

	// Of the last life that left turns.
	SameFormat   bool    // it is stored in the present format
	SameModule   bool    // the planner that decided then decides now
	SameSettings bool    // under the same settings, as far as the planner reads them
	Turns        int     // that can be read
	Torn         bool    // something after them can't
	GapMs        float64 // since its last turn, by the machine's clock; negative if that was set back
	SpanMs       float64 // from the turn that a replay would begin at to its last
}

// Limits limit a recovery; they come from the settings.
type Limits struct {
	MaxReplayMs float64 // of turns to be replayed: how far back the planner's memory reaches
	MaxGapMs    float64 // beyond which what was known is worth nothing
}

// Decision says how to begin.
type Decision struct {
	ReplayMs   float64 // how much of the last life's end to replay; 0: none, a cold start
	DowntimeMs float64 // how much further its clock is by now
	Reason     string  // for the log
}

// Cold returns whether nothing is replayed.
func (v Decision) Cold() bool { return v.ReplayMs == 0 }

// Decide returns how to begin: cold if anything speaks against the record.
func Decide(f Facts, b Limits) Decision {
	if reason := coldStartReason(f, b); reason != "" {
		return Decision{Reason: "cold start: " + reason}
	}
	v := Decision{ReplayMs: min(f.SpanMs, b.MaxReplayMs), DowntimeMs: max(0, f.GapMs)}
	v.Reason = fmt.Sprintf("recovered from the last %.0f s, away for %.1f s", v.ReplayMs/1000, v.DowntimeMs/1000)
	if f.Torn {
		v.Reason += "; the record's end is torn"
	}
	if f.GapMs < 0 {
		v.Reason += "; the clock was set back"
	}
	return v
}

// reasonAgainst returns the first reason not to use the record; "" if there is none.
func coldStartReason(f Facts, b Limits) string {
	switch {
	case f.Runs == 0:
		return "there is no record"
	case !f.SameFormat:
		return "the record is of another format"
	case f.FailedStarts >= maxFailedStarts:
		return fmt.Sprintf("%d starts in a row died before their first turn", f.FailedStarts)
	case !f.SameModule:
		return "the record is of another module"
	case !f.SameSettings:
		return "the record is of other terms"
	case f.Turns == 0 || f.SpanMs <= 0:
		return "the last life left no turn that can be read"
	case f.GapMs > b.MaxGapMs:
		return fmt.Sprintf("the last turn is %.0f s old, %.0f s may be", f.GapMs/1000, b.MaxGapMs/1000)
	}
	return ""
}
