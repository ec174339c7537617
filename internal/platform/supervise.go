package platform

import (
	"context"
	"time"
)

// reportInterval is the time between two reports of the counters.
const reportInterval = 10 * time.Second

// supervise reads the placement again when asked to, and reports the counters, until ctx ends.
func (p *Pilot) supervise(ctx context.Context, reload <-chan struct{}) error {
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	retry := time.NewTimer(reloadRetryInterval) // the first time it finds nothing to do
	defer retry.Stop()
	retries := 0 // left to read a file that was wrong
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
