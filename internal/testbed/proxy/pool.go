package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

// pool is the connection of a proxy or client to one address: one at a time, shared by all reqs, opened when needed.
type pool struct {
	address string
	dial    Dial
	timeout time.Duration
	mu      sync.Mutex
	open    *connection
	dialing chan struct{}
	retired bool
}

// connection is an open connection with the reqs that wait on it.
type connection struct {
	conn    net.Conn
	mu      sync.Mutex
	writer       *wire.Writer
	lastNumber    uint64
	waiting map[uint64]chan *wire.Answer
	err     error
}

// roundTrip sends a req and waits for its answer. An error that is errNever proves that nothing was sent.
func (p *pool) roundTrip(ctx context.Context, req *wire.Req) (*wire.Answer, error) {
	m, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Join(errNotSent, err)
	}
	ch := make(chan *wire.Answer, 1)
	m.mu.Lock()
	if m.err != nil {
		m.mu.Unlock()
		return nil, errors.Join(errNotSent, m.err)
	}
	m.lastNumber++
	req.Number = m.lastNumber
	m.waiting[req.Number] = ch
	_ = m.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = m.writer.Write(req)
	m.mu.Unlock()
	if err != nil {
		m.fail(err)
		return nil, err // part of it may have arrived
	}
	defer func() {
		m.mu.Lock()
		delete(m.waiting, req.Number)
		m.mu.Unlock()
	}()
	select {
	case a, ok := <-ch:
		if !ok {
			return nil, fmt.Errorf("connection to %s broke", p.address)
		}
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect returns the open connection or opens one; several callers share one dial.
func (p *pool) connect(ctx context.Context) (*connection, error) {
	for {
		p.mu.Lock()
		if p.open != nil && p.open.alive() {
			defer p.mu.Unlock()
			return p.open, nil
		}
		wait := p.dialing
		if wait == nil {
			p.dialing = make(chan struct{})
			p.mu.Unlock()
			return p.dialConnection(ctx)
		}
		p.mu.Unlock()
		select {
		case <-wait:
			p.mu.Lock()
			failed := p.open == nil || !p.open.alive()
			p.mu.Unlock()
			if failed {
				return nil, errors.New("dial failed")
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *pool) dialConnection(ctx context.Context) (*connection, error) {
	dctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.timeout)
	defer cancel()
	conn, err := p.dial(dctx, "tcp", p.address)
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
	m := &connection{conn: conn, writer: wire.NewWriter(conn), waiting: map[uint64]chan *wire.Answer{}}
	p.open = m
	go m.read()
	return m, nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	if p.open != nil {
		_ = p.open.conn.Close()
	}
}

// retire closes the connection once nothing waits on it, within a bound.
func (p *pool) retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	if m := p.open; m != nil {
		m.mu.Lock()
		idle := len(m.waiting) == 0
		m.mu.Unlock()
		if idle {
			_ = m.conn.Close()
			return
		}
		time.AfterFunc(retireTimeout, func() { _ = m.conn.Close() })
	}
}

// retireTimeout is how long reqs at an endpoint that has left the tables may still be answered.
const retireTimeout = 5 * time.Second

func (m *connection) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err == nil
}

func (m *connection) fail(err error) {
	_ = m.conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.err = err
		for _, ch := range m.waiting {
			close(ch)
		}
		clear(m.waiting)
	}
}

func (m *connection) read() {
	r := wire.NewReader(m.conn, 1<<16)
	for {
		msg, err := r.Read()
		if err != nil {
			m.fail(err)
			return
		}
		a, ok := msg.(*wire.Answer)
		if !ok {
			m.fail(wire.ErrType)
			return
		}
		m.mu.Lock()
		if ch := m.waiting[a.Number]; ch != nil {
			ch <- a // has room for the one answer
			delete(m.waiting, a.Number)
		}
		m.mu.Unlock()
	}
}

// Client is one client's way to a proxy.
type Client struct{ pool pool }

// NewClient returns an asker that has not dialled.
func NewClient(address string, dial Dial, timeout time.Duration) *Client {
	return &Client{pool{address: address, dial: dial, timeout: timeout}}
}

// Do sends a req and waits for its answer.
func (a *Client) Do(ctx context.Context, req *wire.Req) (*wire.Answer, error) {
	return a.pool.roundTrip(ctx, req)
}

// NotSent returns whether an error proves that a req never left.
func NotSent(err error) bool { return errors.Is(err, errNotSent) }

// Close ends the connection.
func (a *Client) Close() { a.pool.close() }
