package platform

import (
	"context"
	"time"
)

// reportInterval is the time between two log lines with the pilot's statistics.
const reportInterval = 10 * time.Second

// supervise reloads the placement on request and logs the pilot's statistics every reportInterval, until ctx is
// cancelled.
func (p *Pilot) supervise(ctx context.Context, reload <-chan struct{}) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	retry := time.NewTimer(reloadRetryInterval) // harmless when it first fires: retries is 0 then
	defer retry.Stop()
	retries := 0 // remaining retries of a failed reload
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
