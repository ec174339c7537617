package daemon

import (
	"cmp"
	"time"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/recovery"
)

// recover reads the last life and, if its record is usable, returns a core restored by replaying the end of it. The
// commands of the replay are not sent. recover returns nil for a cold start, with the reason in r.decision.
func (d *Daemon) recover(r *recording, cfg *config.Pilot) (*controller.Core, error) {
	limits := recovery.Limits{
		MaxReplayMs: float64(cfg.RecoverTail.Milliseconds()),
		MaxGapMs:    float64(cfg.RecoverWithin.Milliseconds()),
	}
	lives, err := r.store.Lives()
	if err != nil {
		return nil, err
	}
	last, failedStarts := r.lastLife(lives)
	facts := recovery.RecordInfo{Runs: len(lives), FailedStarts: failedStarts}
	var tail []record.Turn
	if last.ID != "" && last.Format == record.Format {
		if tail, err = r.readTail(last, limits.MaxReplayMs, &facts); err != nil {
			return nil, err
		}
	}
	r.decision = recovery.Decide(facts, limits)
	if r.decision.Cold() {
		return nil, nil
	}
	core := controller.NewCore(d.replayOptions(cfg))
	if err := record.Restore(core, tail); err != nil {
		return nil, err
	}
	r.recoveredFrom = last.ID
	return core, nil
}

// lastLife returns the latest life with recorded data, and the number of later lives without any: starts that failed
// before they recorded a turn. If no life has data, the ID of the returned life is "".
func (r *recording) lastLife(lives []record.Life) (last record.Life, failedStarts int) {
	for i := len(lives) - 1; i >= 0; i-- {
		if _, chunks := r.store.Size(lives[i].ID); chunks > 0 {
			return lives[i], failedStarts
		}
		failedStarts++
	}
	return record.Life{}, failedStarts
}

// readTail returns the turns that a recovery replays: the last tailMs milliseconds of a life, preceded by the turns
// needed to restore the state at that point. It also sets the facts that decide whether the record is used.
func (r *recording) readTail(last record.Life, tailMs float64, facts *recovery.RecordInfo) ([]record.Turn, error) {
	turns, torn, err := record.ReadTail(r.store, last.ID, tailMs)
	if err != nil {
		return nil, err
	}
	facts.Turns = len(turns)
	facts.Torn = torn
	facts.SameFormat = true
	facts.SamePlanner = last.PlannerFingerprint == r.fingerprint
	facts.SameSettings = cmp.Or(last.LatestSettings, last.Settings) == r.settings
	facts.GapMs = float64(time.Since(r.store.LastWritten(last.ID)).Milliseconds())
	tail := turns[record.ReplayStart(turns, tailMs):]
	if len(tail) > 0 {
		spanMs := tail[len(tail)-1].AtMs - tail[0].AtMs
		facts.SpanMs = max(1, spanMs) // at least 1 ms: a span of 0 would rule out a recovery from a single turn
	}
	return tail, nil
}
