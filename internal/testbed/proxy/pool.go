package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

// retireTimeout is how long a connection with waiting requests stays open after its endpoint was removed from all
// tables.
const retireTimeout = 5 * time.Second

// errDialFailed means that a request waited for the dial of another request and that this dial failed.
var errDialFailed = errors.New("dial started by another request failed")

// pool holds at most one connection to an address. All requests share it, and it is opened on demand.
type pool struct {
	address string
	dial    Dial
	timeout time.Duration // dial timeout

	mu      sync.Mutex    // guards the fields below
	open    *connection   // last connection opened, which may have failed; nil before the first
	dialing chan struct{} // closed when the dial in progress ends; nil if there is none
	retired bool          // set by close and retire; a connection dialed afterwards is closed
}

// roundTrip sends a request and waits for its answer. An error that wraps errNotSent means that no part of the request
// was sent.
func (p *pool) roundTrip(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	return conn.roundTrip(ctx, req)
}

// connect returns the open connection or dials a new one. If a dial is in progress, connect waits for it.
func (p *pool) connect(ctx context.Context) (*connection, error) {
	for {
		p.mu.Lock()
		if p.isOpen() {
			defer p.mu.Unlock()
			return p.open, nil
		}
		dialing := p.dialing
		if dialing == nil {
			p.dialing = make(chan struct{})
			p.mu.Unlock()
			return p.dialConnection(ctx)
		}
		p.mu.Unlock()
		if err := p.awaitDial(ctx, dialing); err != nil {
			return nil, err
		}
	}
}

// isOpen reports whether there is a connection that has not failed. The caller must hold mu.
func (p *pool) isOpen() bool { return p.open != nil && p.open.alive() }

// awaitDial waits for a dial started by another request. It returns an error if that dial fails or ctx is done first.
func (p *pool) awaitDial(ctx context.Context, dialing <-chan struct{}) error {
	select {
	case <-dialing:
	case <-ctx.Done():
		return ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isOpen() {
		return errDialFailed
	}
	return nil
}

// dialConnection dials a connection. It continues if ctx is cancelled, because other requests may wait for the
// connection.
func (p *pool) dialConnection(ctx context.Context) (*connection, error) {
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.timeout)
	defer cancel()
	conn, err := p.dial(dialCtx, "tcp", p.address)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.dialing)
	p.dialing = nil
	if err != nil {
		return nil, err
	}
	if p.retired {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	p.open = newConnection(conn, p.address)
	go p.open.receive() // returns when the connection is closed
	return p.open, nil
}

// close closes the connection immediately, which fails the requests that wait on it.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	if p.open != nil {
		_ = p.open.conn.Close()
	}
}

// retire closes the connection immediately if no request waits on it, or else after retireTimeout.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	if p.open == nil {
		return
	}
	conn := p.open.conn
	if p.open.idle() {
		_ = conn.Close()
		return
	}
	time.AfterFunc(retireTimeout, func() { _ = conn.Close() })
}
