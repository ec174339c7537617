// Package backoff waits for a span or the end of a context, whichever comes first. Edges that try again use it; it keeps
// no clock of the pilot's and decides nothing.
package backoff

import (
	"context"
	"errors"
	"net"
	"time"
)

// Sleep waits and returns whether the whole span has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Temporary tells an accept that failed for want of a descriptor, or the like, and may be tried again after a pause from a
// listener that is closed.
func Temporary(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && !errors.Is(err, net.ErrClosed)
}
