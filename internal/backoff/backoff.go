// Package backoff waits between retries. It uses the real clock, not that of the controller.
package backoff

import (
	"context"
	"errors"
	"net"
	"time"
)

// Sleep waits for span and returns true, or false if ctx ended before.
func Sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Temporary reports whether accept failed temporarily, as without a free descriptor, so that it can be retried after a
// pause. It returns false for a closed listener.
func Temporary(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}
