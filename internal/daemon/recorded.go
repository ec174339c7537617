package daemon

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/recovery"
)

// recorded is the daemon's record: the store, the writer of this life, and how it began.
type recorded struct {
	store   *record.Store
	writer  *record.Writer
	Verdict recovery.Decision
	Took    time.Duration // of the recovery
	after   string        // the life it was rebuilt from
	life    string        // this one
}

// lifeID names a life so that names sort by start.
func lifeID(t time.Time) string { return t.UTC().Format("20060102T150405.000000000") }

// openRecord opens the store and rebuilds the core from the life before, if that is worth anything. What goes wrong with
// a record is logged and never keeps a pilot from starting, but for a store that another process holds.
func (d *Daemon) openRecord(t *config.Pilot, plan *controller.Options, fresh func() controller.Options) (core *controller.Core, offset float64, err error) {
	store, err := record.Open(t.RecordDir, false)
	if errors.Is(err, record.ErrCorrupt) {
		path, aerr := record.Quarantine(t.RecordDir)
		d.outfit.Log.Error("records are torn and set aside", zap.String("file", path), zap.Error(errors.Join(err, aerr)))
		store, err = record.Open(t.RecordDir, false)
	}
	if err != nil {
		return nil, 0, err
	}
	r := &recorded{store: store}
	d.record = r
	fingerprint := record.Fingerprint(d.outfit.Decide)
	told, err := toldTerms(t)
	if err != nil {
		return nil, 0, err
	}
	began := time.Now()
	if core, err = d.recover(r, t, fingerprint, told, fresh); err != nil {
		d.outfit.Log.Error("recovery failed, starting cold", zap.Error(err))
		r.Verdict = recovery.Decision{Reason: "cold start: recovery failed"}
	}
	r.Took = time.Since(began)
	d.outfit.Log.Info(r.Verdict.Reason, zap.Duration("took", r.Took))
	r.life = lifeID(time.Now())
	life := record.Life{ID: r.life, Pilot: t.Name, Seed: int64(t.Seed), Module: fingerprint, Settings: told, Started: time.Now(),
		After: r.after, TailMs: float64(t.RecoverTail.Milliseconds())}
	if r.writer, err = record.NewWriter(store, life, record.Limits{Bytes: int64(t.RecordMostMB * (1 << 20)), Age: t.RecordKeep,
		SegmentBytes: record.DefaultLimits().SegmentBytes, CommitInterval: record.DefaultLimits().CommitInterval}, d.outfit.Log.Named("record")); err != nil {
		return nil, 0, errors.Join(err, store.Close())
	}
	if core != nil {
		offset = core.Now() + r.Verdict.AwayMs
	}
	recorder := record.NewRecorder(r.writer.Turn, func() []controller.Input { return d.core.Checkpoint() })
	plan.OnTurn = recorder.Turn
	return core, offset, nil
}

// recover reads the last life and replays its end with orders held back.
func (d *Daemon) recover(r *recorded, t *config.Pilot, fingerprint, told string, fresh func() controller.Options) (*controller.Core, error) {
	lives, err := r.store.Lives()
	if err != nil {
		return nil, err
	}
	facts := recovery.Facts{Lives: len(lives)}
	bounds := recovery.Limits{TailMs: float64(t.RecoverTail.Milliseconds()), GapMs: float64(t.RecoverWithin.Milliseconds())}
	var last record.Life
	for i := len(lives) - 1; i >= 0; i-- {
		if _, chunks := r.store.Size(lives[i].ID); chunks > 0 {
			last = lives[i]
			break
		}
		facts.FailedStarts++
	}
	var turns []record.Turn
	if last.ID != "" && last.Format == record.Format {
		if turns, facts.Torn, err = record.ReadTail(r.store, last.ID, bounds.TailMs); err != nil {
			return nil, err
		}
		facts.Turns = len(turns)
		facts.SameFormat, facts.SameModule, facts.SameSettings = true, last.Module == fingerprint, cmp.Or(last.LatestSettings, last.Settings) == told
		facts.GapMs = float64(time.Since(r.store.LastAt(last.ID)).Milliseconds())
	}
	from := record.ReplayStart(turns, bounds.TailMs)
	if len(turns) > 0 && from < len(turns) {
		facts.SpanMs = max(1, turns[len(turns)-1].AtMs-turns[from].AtMs)
	}
	if r.Verdict = recovery.Decide(facts, bounds); r.Verdict.Cold() {
		return nil, nil
	}
	core := controller.NewCore(fresh())
	if err := record.Restore(core, turns[from:]); err != nil {
		return nil, err
	}
	r.after = last.ID
	return core, nil
}

// toldTerms is what the module is told, as a life keeps it.
func toldTerms(t *config.Pilot) (string, error) {
	told, err := json.Marshal(t.PlannerSettings(t.Rank))
	if err != nil {
		return "", fmt.Errorf("record terms: %w", err)
	}
	return string(told), nil
}

// reterm notes the terms of a reload, without which a return after it would be held for one on other terms.
func (r *recorded) reterm(t *config.Pilot) error {
	told, err := toldTerms(t)
	if err != nil {
		return err
	}
	return r.store.UpdateSettings(r.life, told)
}

// close ends the record.
func (r *recorded) close() error { return r.store.Close() }

// OpenRecords opens a store for reading.
func OpenRecords(dir string) (*record.Store, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	return record.Open(dir, true)
}
