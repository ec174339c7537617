// Package pause waits for a span or the end of a context, whichever comes first. What tries again uses it for the
// time in between. It uses the real clock, not the controller's, and decides nothing.
package pause

import (
	"context"
	"errors"
	"net"
	"time"
)

// For waits for a span and returns whether the whole of it has passed before the end of ctx.
func For(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Passing returns whether an accept failed for a passing reason, such as no free descriptor, and may be tried again
// after a pause. That of a listener that is closed is none.
func Passing(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed)
}
