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

// bytesPerMB converts the configured size limit, which is in MiB, to bytes.
const bytesPerMB = 1 << 20

// recording writes the daemon's record and holds the outcome of the recovery at the start. A record consists of lives:
// one life is the record of one run of a controller.
type recording struct {
	store         *record.Store
	writer        *record.Writer
	life          string            // ID of the life being written
	recoveredFrom string            // ID of the previous life if the state was recovered from it; "": cold start
	fingerprint   string            // identifies the planner's version; only a record with the same one is used
	settings      string            // planner settings at the start, as JSON
	decision      recovery.Decision // whether the state was recovered, and why not
	recoveryTime  time.Duration     // duration of the recovery
}

// openRecord opens the store, starts a new life in it, and returns a core restored from the previous life; nil for a
// cold start. A record that is corrupt or unusable is logged and doesn't prevent the start. A store that can't be
// opened or written does, for example because another process has it open.
func (d *Daemon) openRecord(cfg *config.Pilot) (*controller.Core, error) {
	store, err := d.openStore(cfg.RecordDir)
	if err != nil {
		return nil, err
	}
	r := &recording{store: store}
	d.recording = r // set before the first possible error, so that New closes the store
	r.fingerprint = record.Fingerprint(d.options.NewPlanner)
	if r.settings, err = plannerSettings(cfg); err != nil {
		return nil, err
	}
	core := d.recoverOrStartCold(r, cfg)
	if err := d.beginLife(r, cfg); err != nil {
		return nil, err
	}
	return core, nil
}

// openStore opens the store in dir. If the file is corrupt, openStore renames it, so that it can be examined, and opens
// a new store.
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

// recoverOrStartCold returns a core restored from the previous life, or nil for a cold start. If the recovery fails, it
// logs the error and returns nil.
func (d *Daemon) recoverOrStartCold(r *recording, cfg *config.Pilot) *controller.Core {
	began := time.Now()
	core, err := d.recover(r, cfg)
	if err != nil {
		d.options.Log.Error("recovery failed, starting cold", zap.Error(err))
		r.decision = recovery.Decision{Reason: "cold start: recovery failed"}
	}
	r.recoveryTime = time.Since(began)
	d.options.Log.Info(r.decision.Reason, zap.Duration("took", r.recoveryTime))
	return core
}

// beginLife starts a new life in the store and creates the writer for it.
func (d *Daemon) beginLife(r *recording, cfg *config.Pilot) error {
	r.life = lifeID(time.Now())
	life := record.Life{
		ID:                 r.life,
		Pilot:              cfg.Name,
		Seed:               int64(cfg.Seed),
		PlannerFingerprint: r.fingerprint,
		Settings:           r.settings,
		Started:            time.Now(),
		RestoredFrom:       r.recoveredFrom,
		TailMs:             float64(cfg.RecoverTail.Milliseconds()),
	}
	limits := record.DefaultLimits()
	limits.Bytes = int64(cfg.RecordMostMB * bytesPerMB)
	limits.Age = cfg.RecordKeep
	var err error
	r.writer, err = record.NewWriter(r.store, life, limits, d.options.Log.Named("record"))
	return err
}

// lifeID returns the ID of a life that starts at t. IDs sort lexically by start time.
func lifeID(t time.Time) string { return t.UTC().Format("20060102T150405.000000000") }

// plannerSettings returns the planner's settings as JSON, the form in which a life stores them.
func plannerSettings(cfg *config.Pilot) (string, error) {
	settings, err := json.Marshal(cfg.PlannerSettings(cfg.Rank))
	if err != nil {
		return "", fmt.Errorf("encode planner settings for the record: %w", err)
	}
	return string(settings), nil
}

// updateSettings stores the planner settings after a reload. Otherwise the next start would compare its settings with
// outdated ones and start cold.
func (r *recording) updateSettings(cfg *config.Pilot) error {
	settings, err := plannerSettings(cfg)
	if err != nil {
		return err
	}
	return r.store.UpdateSettings(r.life, settings)
}

// close closes the store. The writer must have stopped.
func (r *recording) close() error { return r.store.Close() }

// OpenRecords opens the store in dir for reading only. It fails if dir does not exist.
func OpenRecords(dir string) (*record.Store, error) {
	if _, err := os.Stat(dir); err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	return record.Open(dir, true)
}
