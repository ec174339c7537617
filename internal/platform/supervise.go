package platform

import (
	"context"
	"time"
)

// reportInterval is the time between two reports of the counters.
const reportInterval = 10 * time.Second

// supervise reloads the placement on request and reports the counters periodically, until ctx ends.
func (p *Pilot) supervise(ctx context.Context, reload <-chan struct{}) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	retry := time.NewTimer(reloadRetryInterval) // the first expiry finds no retries
	defer retry.Stop()
	retries := 0 // retries left after a failed reload
	for {
		select {
		case <-reload:
			retries = maxReloadRetries
			if p.reload(true) {
				retries = 0
			}
			retry.Reset(reloadRetryInterval)
		case <-retry.C:
			retries = p.retryReload(retries)
			if retries > 0 {
				retry.Reset(reloadRetryInterval)
			}
		case <-report.C:
			p.report()
		case <-ctx.Done():
			return nil
		}
	}
}
