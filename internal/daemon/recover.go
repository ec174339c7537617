package daemon

import (
	"cmp"
	"time"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/recovery"
)

// recover reads the last life and, if its record is good for it, returns a core rebuilt from its end, whose commands
// were held back. It returns nil for a cold start.
func (d *Daemon) recover(r *recording, cfg *config.Pilot) (*controller.Core, error) {
	limits := recovery.Limits{
		TailMs: float64(cfg.RecoverTail.Milliseconds()),
		GapMs:  float64(cfg.RecoverWithin.Milliseconds()),
	}
	lives, err := r.store.Lives()
	if err != nil {
		return nil, err
	}
	last, failedStarts := r.lastLife(lives)
	facts := recovery.Facts{Lives: len(lives), FailedStarts: failedStarts}
	var tail []record.Turn
	if last.ID != "" && last.Format == record.Format {
		if tail, err = r.readTail(last, limits.TailMs, &facts); err != nil {
			return nil, err
		}
	}
	r.Verdict = recovery.Decide(facts, limits)
	if r.Verdict.Cold() {
		return nil, nil
	}
	core := controller.NewCore(d.replayOptions(cfg))
	if err := record.Restore(core, tail); err != nil {
		return nil, err
	}
	r.rebuiltFrom = last.ID
	return core, nil
}

// lastLife returns the latest life that left anything, and how many after it left nothing. Without one the life's ID is
// "".
func (r *recording) lastLife(lives []record.Life) (last record.Life, failedStarts int) {
	for i := len(lives) - 1; i >= 0; i-- {
		if _, chunks := r.store.Size(lives[i].ID); chunks > 0 {
			return lives[i], failedStarts
		}
		failedStarts++
	}
	return record.Life{}, failedStarts
}

// readTail returns the turns that a recovery replays of a life, and notes what speaks for and against it.
func (r *recording) readTail(last record.Life, tailMs float64, facts *recovery.Facts) ([]record.Turn, error) {
	turns, torn, err := record.ReadTail(r.store, last.ID, tailMs)
	if err != nil {
		return nil, err
	}
	facts.Turns = len(turns)
	facts.Torn = torn
	facts.SameFormat = true
	facts.SameModule = last.PlannerFingerprint == r.fingerprint
	facts.SameSettings = cmp.Or(last.LatestSettings, last.Settings) == r.settings
	facts.GapMs = float64(time.Since(r.store.LastWritten(last.ID)).Milliseconds())
	tail := turns[record.ReplayStart(turns, tailMs):]
	if len(tail) > 0 {
		spanMs := tail[len(tail)-1].AtMs - tail[0].AtMs
		facts.SpanMs = max(1, spanMs) // a single turn is worth a replay
	}
	return tail, nil
}
