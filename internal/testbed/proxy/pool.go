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
	open    *multi
	dialing chan struct{}
	retired bool
}

// multi is an open connection with the reqs that wait on it.
type multi struct {
	conn    net.Conn
	mu      sync.Mutex
	w       *wire.Writer
	next    uint64
	waiting map[uint64]chan *wire.Answer
	err     error
}

// do sends a req and waits for its answer. An error that is errNever proves that nothing was sent.
func (p *pool) do(ctx context.Context, req *wire.Req) (*wire.Answer, error) {
	m, err := p.connect(ctx)
	if err != nil {
		return nil, errors.Join(errNever, err)
	}
	ch := make(chan *wire.Answer, 1)
	m.mu.Lock()
	if m.err != nil {
		m.mu.Unlock()
		return nil, errors.Join(errNever, m.err)
	}
	m.next++
	req.Number = m.next
	m.waiting[req.Number] = ch
	_ = m.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = m.w.Write(req)
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
func (p *pool) connect(ctx context.Context) (*multi, error) {
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
			return p.dialNow(ctx)
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

func (p *pool) dialNow(ctx context.Context) (*multi, error) {
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
	m := &multi{conn: conn, w: wire.NewWriter(conn), waiting: map[uint64]chan *wire.Answer{}}
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
		time.AfterFunc(lingerMost, func() { _ = m.conn.Close() })
	}
}

// lingerMost is how long reqs at an endpoint that has left the tables may still be answered.
const lingerMost = 5 * time.Second

func (m *multi) alive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err == nil
}

func (m *multi) fail(err error) {
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

func (m *multi) read() {
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

// Asker is one client's way to a proxy.
type Asker struct{ pool pool }

// NewAsker returns an asker that has not dialled.
func NewAsker(address string, dial Dial, timeout time.Duration) *Asker {
	return &Asker{pool{address: address, dial: dial, timeout: timeout}}
}

// Ask sends a req and waits for its answer.
func (a *Asker) Ask(ctx context.Context, req *wire.Req) (*wire.Answer, error) {
	return a.pool.do(ctx, req)
}

// Never returns whether an error proves that a req never left.
func Never(err error) bool { return errors.Is(err, errNever) }

// Close ends the connection.
func (a *Asker) Close() { a.pool.close() }
