package platform

import (
	"time"

	"go.uber.org/zap"

	"indigousher/internal/platform/config"
)

// A file that is wrong may be being written: it is read again each reloadRetryInterval, maxReloadRetries times.
const (
	reloadRetryInterval = 100 * time.Millisecond
	maxReloadRetries    = 30
)

// reload reads the placement again and returns whether it could. A wrong one changes nothing, and is logged if asked
// for.
func (p *Pilot) reload(logFailure bool) bool {
	now, err := p.reread()
	if err != nil {
		if logFailure {
			p.log.Error("reload refused, the old configuration stands", zap.Error(err))
		}
		return false
	}
	p.log.Info("reloaded", zap.String("discovery", now.Discovery), zap.String("relay", now.Relay.Address),
		zap.Strings("want a restart", config.Restart(p.placement, now)))
	p.agent.Move(now.Discovery)
	p.orders.Move(now.Relay.Address)
	p.events.Move(now.Relay.Address)
	return true
}

// retryReload reads the placement again, if any retries are left, and returns how many are left then: none after one
// that was read. The last one that fails is logged.
func (p *Pilot) retryReload(retries int) (left int) {
	if retries == 0 {
		return 0
	}
	left = retries - 1
	if p.reload(left == 0) {
		return 0
	}
	return left
}
