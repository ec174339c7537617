package daemon

import (
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

// bytesPerMB converts the limit of the configuration.
const bytesPerMB = 1 << 20

// recording is the daemon's record: the store, the life that is written, and how it began.
type recording struct {
	store       *record.Store
	writer      *record.Writer
	life        string // ID of the one that is written
	rebuiltFrom string // ID of the life before it, if this one goes on from there
	fingerprint string // of the planner
	settings    string // the planner's at the start, as a life keeps them
	Verdict     recovery.Decision
	Took        time.Duration // of the recovery
}

// openRecord opens the store, begins a new life in it, and returns a core rebuilt from the life before; nil for a cold
// start. What is wrong with a record is logged and never keeps a controller from starting, but for a store that another
// process holds.
func (d *Daemon) openRecord(cfg *config.Pilot) (*controller.Core, error) {
	store, err := d.openStore(cfg.RecordDir)
	if err != nil {
		return nil, err
	}
	r := &recording{store: store}
	d.recording = r // New closes it after an error
	r.fingerprint = record.Fingerprint(d.options.Decide)
	if r.settings, err = plannerSettings(cfg); err != nil {
		return nil, err
	}
	core := d.recoverOrStartCold(r, cfg)
	if err := d.beginLife(r, cfg); err != nil {
		return nil, err
	}
	return core, nil
}

// openStore opens the store. A damaged file is set aside for whoever wants to look, and a new one begun.
func (d *Daemon) openStore(dir string) (*record.Store, error) {
	store, err := record.Open(dir, false)
	if !errors.Is(err, record.ErrCorrupt) {
		return store, err
	}
	path, asideErr := record.Quarantine(dir)
	err = errors.Join(err, asideErr)
	d.options.Log.Error("records are corrupt and set aside", zap.String("file", path), zap.Error(err))
	return record.Open(dir, false)
}

// recoverOrStartCold returns a core rebuilt from the life before; nil for a cold start, also when the recovery fails.
func (d *Daemon) recoverOrStartCold(r *recording, cfg *config.Pilot) *controller.Core {
	began := time.Now()
	core, err := d.recover(r, cfg)
	if err != nil {
		d.options.Log.Error("recovery failed, starting cold", zap.Error(err))
		r.Verdict = recovery.Decision{Reason: "cold start: recovery failed"}
	}
	r.Took = time.Since(began)
	d.options.Log.Info(r.Verdict.Reason, zap.Duration("took", r.Took))
	return core
}

// beginLife begins a new life in the store.
func (d *Daemon) beginLife(r *recording, cfg *config.Pilot) error {
	r.life = lifeID(time.Now())
	life := record.Life{
		ID:                 r.life,
		Pilot:              cfg.Name,
		Seed:               int64(cfg.Seed),
		PlannerFingerprint: r.fingerprint,
		Settings:           r.settings,
		Started:            time.Now(),
		RestoredFrom:       r.rebuiltFrom,
		TailMs:             float64(cfg.RecoverTail.Milliseconds()),
	}
	limits := record.DefaultLimits()
	limits.Bytes = int64(cfg.RecordMostMB * bytesPerMB)
	limits.Age = cfg.RecordKeep
	var err error
	r.writer, err = record.NewWriter(r.store, life, limits, d.options.Log.Named("record"))
	return err
}

// lifeID names a life so that names sort by start.
func lifeID(t time.Time) string { return t.UTC().Format("20060102T150405.000000000") }

// plannerSettings returns the planner's settings as a life keeps them.
func plannerSettings(cfg *config.Pilot) (string, error) {
	settings, err := json.Marshal(cfg.PlannerSettings(cfg.Rank))
	if err != nil {
		return "", fmt.Errorf("record terms: %w", err)
	}
	return string(settings), nil
}

// updateSettings stores the settings of a reload: without them a return would take the life for one of other settings.
func (r *recording) updateSettings(cfg *config.Pilot) error {
	settings, err := plannerSettings(cfg)
	if err != nil {
		return err
	}
	return r.store.UpdateSettings(r.life, settings)
}

// close closes the store. Nobody may write any more.
func (r *recording) close() error { return r.store.Close() }

// OpenRecords opens a store for reading.
func OpenRecords(dir string) (*record.Store, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	return record.Open(dir, true)
}
