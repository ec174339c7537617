// Package backoff provides interruptible pauses between retries. It uses the system clock rather than the controller's
// clock, which tests can replace.
package backoff

import (
	"context"
	"errors"
	"net"
	"time"
)

// Sleep pauses for span. It returns true after the full pause, or false as soon as ctx is cancelled.
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

// Temporary reports whether err, returned by a listener's Accept, is temporary, so that Accept can be retried after a
// pause. An example is running out of file descriptors. It returns false if the listener is closed.
func Temporary(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}
