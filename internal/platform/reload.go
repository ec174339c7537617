package platform

import (
	"time"

	"go.uber.org/zap"

	"indigousher/internal/platform/placement"
)

// An invalid file may be in the middle of being written. It is read again every reloadRetryInterval, up to
// maxReloadRetries times.
const (
	reloadRetryInterval = 100 * time.Millisecond
	maxReloadRetries    = 30
)

// reload reads the placement and applies its addresses. It returns whether the placement is valid; an invalid one
// changes nothing and is logged if logFailure is set.
func (p *Pilot) reload(logFailure bool) bool {
	current, err := p.readPlacement()
	if err != nil {
		if logFailure {
			p.log.Error("reload rejected, keeping the current configuration", zap.Error(err))
		}
		return false
	}
	p.log.Info("reloaded", zap.String("discovery", current.Discovery), zap.String("relay", current.Relay.Address),
		zap.Strings("restart_needed", placement.RequiresRestart(p.initial, current)))
	p.discovery.SetAddress(current.Discovery)
	p.sender.SetAddress(current.Relay.Address)
	p.events.SetAddress(current.Relay.Address)
	return true
}

// retryReload reloads if retries are left and returns how many are left afterwards: none after success. Only the
// failure of the last one is logged.
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
