package recovery

import "fmt"

// maxFailedStarts is the number of consecutive runs that ended before their first turn after which the controller
// starts cold. Replaying the record may be what crashes them.
const maxFailedStarts = 3

// RecordInfo describes the record that a starting controller finds.
type RecordInfo struct {
	Runs         int // number of recorded runs before this one
	FailedStarts int // number of consecutive runs at the end of the record that ended before their first turn

	// The fields below describe the last run that recorded at least one turn, a turn being one pass of the control
	// loop.
	SameFormat   bool    // the run is stored in the current format
	SamePlanner  bool    // the run used the same version of the planner
	SameSettings bool    // the run used the same planner settings
	Turns        int     // number of readable turns
	Torn         bool    // data after the readable turns is incomplete or damaged
	GapMs        float64 // wall-clock time since the last turn; negative if the clock was set back
	SpanMs       float64 // time from the turn at which a replay would begin to the last turn
}

// Limits holds the limits on a recovery, which come from the settings.
type Limits struct {
	MaxReplayMs float64 // longest time to replay; older input no longer affects the planner
	MaxGapMs    float64 // longest time since the last turn; an older record is not used
}

// Decision describes how a controller starts.
type Decision struct {
	ReplayMs   float64 // time at the end of the last run to replay; 0: cold start
	DowntimeMs float64 // time between the last recorded turn and this start
	Reason     string  // explanation for the log
}

// Cold reports whether the controller starts without replaying the record.
func (d Decision) Cold() bool { return d.ReplayMs == 0 }

// Decide returns how a controller starts: from the record if it can be used within the limits, and cold otherwise.
func Decide(info RecordInfo, limits Limits) Decision {
	if reason := coldStartReason(info, limits); reason != "" {
		return Decision{Reason: "cold start: " + reason}
	}
	decision := Decision{ReplayMs: min(info.SpanMs, limits.MaxReplayMs), DowntimeMs: max(0, info.GapMs)}
	decision.Reason = fmt.Sprintf("recovered from the last %.0f s of the record, down for %.1f s",
		decision.ReplayMs/1000, decision.DowntimeMs/1000)
	if info.Torn {
		decision.Reason += "; the end of the record is torn"
	}
	if info.GapMs < 0 {
		decision.Reason += "; the clock was set back"
	}
	return decision
}

// coldStartReason returns the first reason why the record cannot be used, or "" if it can.
func coldStartReason(info RecordInfo, limits Limits) string {
	switch {
	case info.Runs == 0:
		return "no record found"
	case !info.SameFormat:
		return "the record has another format"
	case info.FailedStarts >= maxFailedStarts:
		return fmt.Sprintf("%d starts in a row ended before their first turn", info.FailedStarts)
	case !info.SamePlanner:
		return "the record was made by another version of the planner"
	case !info.SameSettings:
		return "the record was made with other planner settings"
	case info.Turns == 0 || info.SpanMs <= 0:
		return "the last run left no readable turn"
	case info.GapMs > limits.MaxGapMs:
		return fmt.Sprintf("the last turn is %.0f s old, the limit is %.0f s", info.GapMs/1000, limits.MaxGapMs/1000)
	}
	return ""
}
