// Package healthcheck checks the health of endpoints. A check sends one request on a new connection, and the endpoint
// answers with a load report. The number of concurrent checks is limited; further ones result in "denied" without any
// I/O.
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

// maxAnswerBytes bounds the answer to a health check.
const maxAnswerBytes = 1 << 16

// The outcomes of a health check, as the planner knows them.
const (
	outcomeOK          = "ok"
	outcomeError       = "error"       // the endpoint reported a failure
	outcomeDenied      = "denied"      // the endpoint is at capacity, or too many checks are running
	outcomeTimeout     = "timeout"     // no answer in time
	outcomeUnreachable = "unreachable" // no connection
	outcomeReset       = "reset"       // the connection broke, or the answer was invalid
)

// errDial marks a failure to connect, as opposed to a connection that broke.
var errDial = errors.New("dial")

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Checker sends health checks.
type Checker struct {
	ctx     context.Context // ends all checks
	dial    Dial
	inbox   controller.Inbox
	timeout time.Duration
	slots   chan struct{} // each running check holds one
	running sync.WaitGroup
}

// New returns a checker whose checks end with ctx, and each one after timeout. At most so many run concurrently.
func New(ctx context.Context, dial Dial, inbox controller.Inbox, timeout time.Duration, maxConcurrent int) *Checker {
	return &Checker{ctx: ctx, dial: dial, inbox: inbox, timeout: timeout, slots: make(chan struct{}, maxConcurrent)}
}

// Probe checks an endpoint in a goroutine that ends with the check. It posts the result to the controller, also when no
// check could run.
func (c *Checker) Probe(endpoint string) {
	c.running.Go(func() {
		result := controller.HealthChecked{Endpoint: endpoint, Outcome: outcomeDenied}
		select {
		case c.slots <- struct{}{}:
			result = c.check(endpoint)
			<-c.slots
		default:
		}
		_ = c.inbox.Post(c.ctx, result) // fails only if the controller stops
	})
}

// Wait returns when no check is running.
func (c *Checker) Wait() { c.running.Wait() }

// check checks an endpoint and returns the result.
func (c *Checker) check(endpoint string) controller.HealthChecked {
	ctx, cancel := context.WithTimeout(c.ctx, c.timeout)
	defer cancel()
	start := time.Now()
	answer, err := c.exchange(ctx, endpoint)
	result := controller.HealthChecked{
		Endpoint: endpoint,
		TookMs:   float64(time.Since(start)) / float64(time.Millisecond),
	}
	if err != nil {
		result.Outcome = outcomeOf(err)
		return result
	}
	switch answer.Outcome {
	case wire.Succeeded:
		result.Outcome = outcomeOK
		result.Load = answer.Load
	case wire.Denied:
		result.Outcome = outcomeDenied
	default:
		result.Outcome = outcomeError
	}
	return result
}

// outcomeOf returns the outcome of a check that failed with an error.
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

// exchange requests an endpoint's load report and returns the answer.
func (c *Checker) exchange(ctx context.Context, endpoint string) (*wire.Response, error) {
	conn, err := c.dial(ctx, "tcp", endpoint)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	defer func() { _ = conn.Close() }() // the exchange is over
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
	answer, ok := m.(*wire.Response)
	if !ok {
		return nil, fmt.Errorf("%T to a probe: %w", m, wire.ErrType)
	}
	return answer, nil
}

// Disabled is for controllers that may not check endpoints.
type Disabled struct{}

// Probe does nothing.
func (Disabled) Probe(string) {}
