package network

import (
	"context"
	"net"
	"time"
)

// Dialer returns a dial function for a place. Its connections pass through the simulated network. A dial fails after
// timeout.
func (n *Network) Dialer(from Place, timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		to, extra := n.destination(address)
		if err := n.awaitDial(ctx, from, to, extra); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return n.connect(inner, from, to), nil
	}
}

// destination returns the place of an address and the additional time that it takes to connect to it. The place is the
// zero value if the address is not known.
func (n *Network) destination(address string) (to Place, extra time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to = n.places[address]
	return to, n.dialDelay[to.Name]
}

// awaitDial waits until the path is open and then for one round trip plus extra. It fails if ctx is done first.
func (n *Network) awaitDial(ctx context.Context, from, to Place, extra time.Duration) error {
	path := n.path(from, to)
	for !path.open {
		select {
		case <-path.changed:
		case <-ctx.Done():
			return dialTimeoutError{}
		}
		path = n.path(from, to)
	}
	if !sleep(2*path.delay+extra, ctx.Done()) {
		return dialTimeoutError{}
	}
	return nil
}

// dialTimeoutError is returned when a dial times out.
type dialTimeoutError struct{}

var _ net.Error = dialTimeoutError{}

// Error implements error.
func (dialTimeoutError) Error() string { return "dial timed out" }

// Timeout implements net.Error.
func (dialTimeoutError) Timeout() bool { return true }

// Temporary implements net.Error.
func (dialTimeoutError) Temporary() bool { return true }

// sleep waits for d. It returns false if done is closed first.
func sleep(d time.Duration, done <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}
