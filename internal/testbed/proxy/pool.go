package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

// retireTimeout is how long requests at an endpoint that has left the tables may still be answered.
const retireTimeout = 5 * time.Second

// errDialFailed says that the dial of another request, for which this one waited, opened no connection.
var errDialFailed = errors.New("dial failed")

// pool keeps one connection to an address, shared by all requests and opened when needed.
type pool struct {
	address string
	dial    Dial
	timeout time.Duration // of a dial

	mu      sync.Mutex // guards what follows
	open    *connection
	dialing chan struct{} // closed when the dial under way has ended; nil if there is none
	retired bool          // opens no more connections
}

// roundTrip sends a request and waits for its answer. An error that is errNotSent says that nothing was sent.
func (p *pool) roundTrip(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	conn, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	return conn.roundTrip(ctx, req)
}

// connect returns the open connection or opens one. Requests that come during a dial wait for it.
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

// isOpen returns whether there is a connection that has not failed. The caller holds mu.
func (p *pool) isOpen() bool { return p.open != nil && p.open.alive() }

// awaitDial waits for the dial of another request.
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

// dialConnection opens a connection. It goes on if the request that began it is cancelled, as others wait for it.
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
	go p.open.receive() // ends when the connection closes
	return p.open, nil
}

// close ends the connection at once.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	if p.open != nil {
		_ = p.open.conn.Close()
	}
}

// retire ends the connection at once if no request waits on it, else after a while.
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
