// Package probe checks the health of endpoints for the controller: one question on a connection of its own, answered by
// a load report. Checks under way are bounded; one too many is answered as denied without a word on any socket.
package probe

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// maxAnswerBytes bounds the answer to a health check.
const maxAnswerBytes = 1 << 16

// The outcomes of a health check, as the planner knows them.
const (
	outcomeOK          = "ok"
	outcomeError       = "error"       // the endpoint answered that it failed
	outcomeDenied      = "denied"      // it answered that it is full, or too many checks were under way
	outcomeTimeout     = "timeout"     // no answer in time
	outcomeUnreachable = "unreachable" // no connection
	outcomeReset       = "reset"       // the connection broke, or the answer was none
)

// errDial tells a connection that never came about from one that broke.
var errDial = errors.New("dial")

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Prober sends health checks.
type Prober struct {
	ctx     context.Context // ends all checks
	dial    Dial
	inbox   pilot.Inbox
	timeout time.Duration
	slots   chan struct{} // one is held by each check under way
	wg      sync.WaitGroup
}

// New returns a prober whose checks end with ctx, and each after timeout; at most so many are under way.
func New(ctx context.Context, dial Dial, inbox pilot.Inbox, timeout time.Duration, most int) *Prober {
	return &Prober{ctx: ctx, dial: dial, inbox: inbox, timeout: timeout, slots: make(chan struct{}, most)}
}

// Probe checks an endpoint in a goroutine that ends with the check. The result comes as an input of the controller,
// also when it is that nothing could be asked.
func (p *Prober) Probe(endpoint string) {
	p.wg.Go(func() {
		result := pilot.Probed{Endpoint: endpoint, Outcome: outcomeDenied}
		select {
		case p.slots <- struct{}{}:
			result = p.check(endpoint)
			<-p.slots
		default:
		}
		_ = p.inbox.Post(p.ctx, result) // fails only as the controller stops
	})
}

// Wait returns when no check is under way.
func (p *Prober) Wait() { p.wg.Wait() }

// check asks an endpoint and returns the result.
func (p *Prober) check(endpoint string) pilot.Probed {
	ctx, cancel := context.WithTimeout(p.ctx, p.timeout)
	defer cancel()
	start := time.Now()
	answer, err := p.exchange(ctx, endpoint)
	result := pilot.Probed{
		Endpoint: endpoint,
		TookMs:   float64(time.Since(start)) / float64(time.Millisecond),
	}
	if err != nil {
		result.Outcome = outcomeOf(err)
		return result
	}
	switch answer.Outcome {
	case wire.Fine:
		result.Outcome = outcomeOK
		result.Load = answer.Load
	case wire.Denied:
		result.Outcome = outcomeDenied
	default:
		result.Outcome = outcomeError
	}
	return result
}

// outcomeOf returns the outcome of a check that ended with an error.
func outcomeOf(err error) string {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded):
		return outcomeTimeout
	case errors.Is(err, errDial) || errors.Is(err, syscall.ECONNREFUSED):
		return outcomeUnreachable
	}
	return outcomeReset
}

// exchange asks an endpoint for its load report and returns the answer.
func (p *Prober) exchange(ctx context.Context, endpoint string) (*wire.Answer, error) {
	conn, err := p.dial(ctx, "tcp", endpoint)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	defer func() { _ = conn.Close() }() // the answer has come or will not
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	if _, err := wire.NewWriter(conn).Write(&wire.Probe{Number: 1}); err != nil {
		return nil, err
	}
	m, err := wire.NewReader(conn, maxAnswerBytes).Read()
	if err != nil {
		return nil, err
	}
	answer, ok := m.(*wire.Answer)
	if !ok {
		return nil, fmt.Errorf("%T to a probe: %w", m, wire.ErrType)
	}
	return answer, nil
}

// Never is for controllers that may not check endpoints.
type Never struct{}

// Probe does nothing.
func (Never) Probe(string) {}
