package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pilot"
	"indigousher/internal/record"
	"indigousher/internal/terms"
	"indigousher/recovery"
)

// recording is the daemon's record: the store, the writer of this life, and how it began.
type recording struct {
	store       *record.Store
	writer      *record.Writer
	Verdict     recovery.Verdict
	Took        time.Duration // of the recovery
	rebuiltFrom string        // the life it was rebuilt from
	life        string        // this one
}

// lifeID names a life so that names sort by start.
func lifeID(t time.Time) string { return t.UTC().Format("20060102T150405.000000000") }

// openRecord opens the store and rebuilds the core from the life before, if that is worth anything. What goes wrong with
// a record is logged and never keeps a pilot from starting, but for a store that another process holds.
func (d *Daemon) openRecord(t *terms.Pilot, plan *pilot.Plan, fresh func() pilot.Plan) (core *pilot.Core, offset float64, err error) {
	store, err := record.Open(t.RecordDir, false)
	if errors.Is(err, record.ErrTorn) {
		path, aerr := record.SetAside(t.RecordDir)
		d.options.Log.Error("records are torn and set aside", zap.String("file", path), zap.Error(errors.Join(err, aerr)))
		store, err = record.Open(t.RecordDir, false)
	}
	if err != nil {
		return nil, 0, err
	}
	r := &recording{store: store}
	d.recording = r
	fingerprint := record.Fingerprint(d.options.Decide)
	told, err := plannerSettings(t)
	if err != nil {
		return nil, 0, err
	}
	began := time.Now()
	if core, err = d.recover(r, t, fingerprint, told, fresh); err != nil {
		d.options.Log.Error("recovery failed, starting cold", zap.Error(err))
		r.Verdict = recovery.Verdict{Why: "cold start: recovery failed"}
	}
	r.Took = time.Since(began)
	d.options.Log.Info(r.Verdict.Why, zap.Duration("took", r.Took))
	r.life = lifeID(time.Now())
	life := record.Life{ID: r.life, Pilot: t.Name, Seed: int64(t.Seed), Module: fingerprint, Terms: told, Started: time.Now(),
		After: r.rebuiltFrom, TailMs: float64(t.RecoverTail.Milliseconds())}
	if r.writer, err = record.NewWriter(store, life, record.Bounds{Bytes: int64(t.RecordMostMB * (1 << 20)), Age: t.RecordKeep,
		Segment: record.DefaultBounds().Segment, Every: record.DefaultBounds().Every}, d.options.Log.Named("record")); err != nil {
		return nil, 0, errors.Join(err, store.Close())
	}
	if core != nil {
		offset = core.Now() + r.Verdict.AwayMs
	}
	recorder := record.NewRecorder(r.writer.Turn, func() []pilot.Input { return d.core.Checkpoint() })
	plan.Turn = recorder.Turn
	return core, offset, nil
}

// plannerSettings is what the module is told, as a life keeps it.
func plannerSettings(t *terms.Pilot) (string, error) {
	told, err := json.Marshal(t.ForModule(t.Rank))
	if err != nil {
		return "", fmt.Errorf("record terms: %w", err)
	}
	return string(told), nil
}

// updateSettings notes the terms of a reload, without which a return after it would be held for one on other terms.
func (r *recording) updateSettings(t *terms.Pilot) error {
	told, err := plannerSettings(t)
	if err != nil {
		return err
	}
	return r.store.Reterm(r.life, told)
}

// close ends the record.
func (r *recording) close() error { return r.store.Close() }

// Records opens a store for reading.
func Records(dir string) (*record.Store, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	return record.Open(dir, true)
}
