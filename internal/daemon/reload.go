package daemon

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"indigousher/internal/pilot"
	"indigousher/internal/terms"
)

// Reload takes over what may change of new terms and returns what does so at once and what wants a restart. The
// fields that want one keep their old values.
func (d *Daemon) Reload(ctx context.Context, now *terms.Pilot) (changed, restart []string, err error) {
	changed, restart = terms.Reload(d.config.Load(), now)
	if len(changed) == 0 {
		return nil, restart, nil
	}
	if err := d.loop.Post(ctx, pilot.Retermed{Terms: now.Live()}); err != nil {
		return nil, nil, fmt.Errorf("reload: %w", err)
	}
	if d.options.Level != nil {
		if l, err := zap.ParseAtomicLevel(now.LogLevel); err == nil {
			d.options.Level.SetLevel(l.Level())
		}
	}
	d.config.Store(terms.Merge(d.config.Load(), now))
	if d.recording != nil {
		if err := d.recording.updateSettings(d.config.Load()); err != nil {
			d.options.Log.Error("terms not recorded; a return will start cold", zap.Error(err))
		}
	}
	return changed, restart, nil
}
