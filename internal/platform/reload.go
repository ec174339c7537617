package platform

import (
	"context"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/platform/config"
)

// superviseReloads reloads when told to and prints the counters now and then.
func (x *Pilot) superviseReloads(ctx context.Context, reload <-chan struct{}) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	again, left := time.NewTimer(rereadInterval), 0
	defer again.Stop()
	for {
		select {
		case <-reload:
			if left = maxRereads; x.reload(true) {
				left = 0
			}
			again.Reset(rereadInterval)
		case <-again.C:
			if left--; left >= 0 && x.reload(left == 0) {
				left = 0
			}
			if left > 0 {
				again.Reset(rereadInterval)
			}
		case <-t.C:
			x.report()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the configuration again and returns whether it could. A wrong one changes nothing.
func (x *Pilot) reload(say bool) bool {
	now, err := x.reread()
	if err != nil {
		if say {
			x.log.Error("reload refused, the old configuration stands", zap.Error(err))
		}
		return false
	}
	x.log.Info("reloaded", zap.String("discovery", now.Discovery), zap.String("relay", now.Relay.Address),
		zap.Strings("want a restart", config.Restart(x.placement, now)))
	x.agent.Move(now.Discovery)
	x.orders.Move(now.Relay.Address)
	x.events.Move(now.Relay.Address)
	return true
}
