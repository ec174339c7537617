package daemon

import (
	"cmp"
	"time"

	"indigousher/internal/pilot"
	"indigousher/internal/record"
	"indigousher/internal/terms"
	"indigousher/recovery"
)

// recover reads the last life and replays its end with orders held back.
func (d *Daemon) recover(r *recording, t *terms.Pilot, fingerprint, told string, fresh func() pilot.Plan) (*pilot.Core, error) {
	lives, err := r.store.Lives()
	if err != nil {
		return nil, err
	}
	facts := recovery.Facts{Lives: len(lives)}
	bounds := recovery.Bounds{TailMs: float64(t.RecoverTail.Milliseconds()), GapMs: float64(t.RecoverWithin.Milliseconds())}
	var last record.Life
	for i := len(lives) - 1; i >= 0; i-- {
		if _, chunks := r.store.Size(lives[i].ID); chunks > 0 {
			last = lives[i]
			break
		}
		facts.Barren++
	}
	var turns []record.Turn
	if last.ID != "" && last.Format == record.Format {
		if turns, facts.Torn, err = record.Tail(r.store, last.ID, bounds.TailMs); err != nil {
			return nil, err
		}
		facts.Turns = len(turns)
		facts.SameFormat, facts.SameModule, facts.SameTerms = true, last.Module == fingerprint, cmp.Or(last.Now, last.Terms) == told
		facts.GapMs = float64(time.Since(r.store.LastAt(last.ID)).Milliseconds())
	}
	from := record.From(turns, bounds.TailMs)
	if len(turns) > 0 && from < len(turns) {
		facts.SpanMs = max(1, turns[len(turns)-1].AtMs-turns[from].AtMs)
	}
	if r.Verdict = recovery.Decide(facts, bounds); r.Verdict.Cold() {
		return nil, nil
	}
	core := pilot.NewCore(fresh())
	if err := record.Restore(core, turns[from:]); err != nil {
		return nil, err
	}
	r.rebuiltFrom = last.ID
	return core, nil
}
