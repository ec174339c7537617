package daemon

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
)

// Reload applies the reloadable fields of a new configuration. It returns the names of the fields that were changed,
// and the names of the fields that differ but require a restart and therefore keep their old values.
func (d *Daemon) Reload(ctx context.Context, cfg *config.Pilot) (changed, restart []string, err error) {
	changed, restart = config.Diff(d.config.Load(), cfg)
	if len(changed) == 0 {
		return nil, restart, nil
	}
	if err := d.loop.Post(ctx, controller.SettingsChanged{Settings: cfg.ReloadableSettings()}); err != nil {
		return nil, nil, fmt.Errorf("reload: %w", err)
	}
	d.setLogLevel(cfg.LogLevel)
	d.config.Store(config.MergeReloadable(d.config.Load(), cfg))
	if d.recording != nil {
		if err := d.recording.updateSettings(d.config.Load()); err != nil {
			d.options.Log.Error("can't record the new settings, the next start will be cold", zap.Error(err))
		}
	}
	return changed, restart, nil
}

// setLogLevel sets the log level. It does nothing if Options.Level is nil. An invalid level can't occur, because the
// configuration has been validated.
func (d *Daemon) setLogLevel(level string) {
	if d.options.Level == nil {
		return
	}
	if parsed, err := zap.ParseAtomicLevel(level); err == nil {
		d.options.Level.SetLevel(parsed.Level())
	}
}
