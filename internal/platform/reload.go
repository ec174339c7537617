package platform

import (
	"time"

	"go.uber.org/zap"

	"indigousher/internal/platform/placement"
)

// Retries of a reload whose file is invalid, because the file may still be in the middle of being written.
const (
	// reloadRetryInterval is the time between two attempts.
	reloadRetryInterval = 100 * time.Millisecond
	// maxReloadRetries is the number of further attempts after the first one.
	maxReloadRetries = 30
)

// reload reads the placement again and switches to its discovery and relay addresses. It returns false and changes
// nothing if the placement cannot be read or is invalid, and logs the error only if logFailure is true.
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

// retryReload attempts another reload if retries is positive. It returns the number of retries left, which is 0 after a
// success. Only a failure of the last retry is logged.
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
