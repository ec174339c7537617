// Package healthcheck examines endpoints for the runtime: one question on a connection of its own, answered by a load
// report. Probes under way are bounded; one too many is answered as denied without a word on any socket.
package healthcheck

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Checker sends probes.
type Checker struct {
	Dial    Dial
	Inbox   controller.Inbox
	Timeout time.Duration
	ctx     context.Context
	slots   chan struct{}
	wg      sync.WaitGroup
}

// New returns a prober whose probes end with ctx; at most so many are under way.
func New(ctx context.Context, dial Dial, inbox controller.Inbox, timeout time.Duration, most int) *Checker {
	return &Checker{Dial: dial, Inbox: inbox, Timeout: timeout, ctx: ctx, slots: make(chan struct{}, most)}
}

// Probe examines an endpoint. The answer comes as an input, also when it is that nothing could be asked.
func (p *Checker) Probe(endpoint string) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		in := controller.HealthChecked{Endpoint: endpoint, Outcome: "denied"}
		select {
		case p.slots <- struct{}{}:
			in = p.ask(endpoint)
			<-p.slots
		default:
		}
		_ = p.Inbox.Post(p.ctx, in) // fails only as the pilot stops
	}()
}

// Wait returns when no probe is under way.
func (p *Checker) Wait() { p.wg.Wait() }

func (p *Checker) ask(endpoint string) controller.HealthChecked {
	ctx, cancel := context.WithTimeout(p.ctx, p.Timeout)
	defer cancel()
	start := time.Now()
	a, err := p.exchange(ctx, endpoint)
	out := controller.HealthChecked{Endpoint: endpoint, TookMs: float64(time.Since(start)) / float64(time.Millisecond)}
	switch {
	case err == nil && a.Outcome == wire.Fine:
		out.Outcome, out.Load = "ok", a.Load
	case err == nil && a.Outcome == wire.Denied:
		out.Outcome = "denied"
	case err == nil:
		out.Outcome = "error"
	default:
		out.Outcome = outcome(err)
	}
	return out
}

// errDial tells a connection that never came about from one that broke.
var errDial = errors.New("dial")

func outcome(err error) string {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout() || errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	case errors.Is(err, errDial) || errors.Is(err, syscall.ECONNREFUSED):
		return "unreachable"
	}
	return "reset"
}

func (p *Checker) exchange(ctx context.Context, endpoint string) (*wire.Answer, error) {
	conn, err := p.Dial(ctx, "tcp", endpoint)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := wire.NewWriter(conn).Write(&wire.Probe{Number: 1}); err != nil {
		return nil, err
	}
	m, err := wire.NewReader(conn, 1<<16).Read()
	if err != nil {
		return nil, err
	}
	a, ok := m.(*wire.Answer)
	if !ok {
		return nil, fmt.Errorf("%T to a probe: %w", m, wire.ErrType)
	}
	return a, nil
}

// Disabled is for pilots that may not probe.
type Disabled struct{}

// Probe does nothing.
func (Disabled) Probe(string) {}
