// Package healthcheck checks the health of endpoints. A check sends one request on a new connection, and the endpoint
// answers with its load. The number of concurrent checks is limited; the outcome of further checks is "denied" without
// any I/O.
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

// maxAnswerBytes is the largest size of the answer to a health check in bytes.
const maxAnswerBytes = 1 << 16

// Outcomes of a health check, the values of controller.HealthChecked.Outcome.
const (
	outcomeOK          = "ok"          // the endpoint answered with its load
	outcomeError       = "error"       // the endpoint reported a failure
	outcomeDenied      = "denied"      // the endpoint is at capacity, or too many checks are running
	outcomeTimeout     = "timeout"     // no answer in time
	outcomeUnreachable = "unreachable" // no connection
	outcomeReset       = "reset"       // the connection was lost, or the answer was invalid
)

// errDial marks a failure to connect, as opposed to the loss of an established connection.
var errDial = errors.New("dial")

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Checker runs health checks and posts the results to an inbox.
type Checker struct {
	ctx     context.Context // its cancellation aborts all checks
	dial    Dial
	inbox   controller.Inbox
	timeout time.Duration // longest duration of one check
	slots   chan struct{} // one element per running check; the capacity limits concurrent checks
	running sync.WaitGroup
}

// New returns a checker that runs at most maxConcurrent checks at the same time. A check is aborted after timeout or
// when ctx is cancelled.
func New(ctx context.Context, dial Dial, inbox controller.Inbox, timeout time.Duration, maxConcurrent int) *Checker {
	return &Checker{ctx: ctx, dial: dial, inbox: inbox, timeout: timeout, slots: make(chan struct{}, maxConcurrent)}
}

// Probe checks an endpoint in a new goroutine and posts the result to the inbox. If too many checks are running, it
// posts the outcome "denied" without a check.
func (c *Checker) Probe(endpoint string) {
	c.running.Go(func() {
		result := controller.HealthChecked{Endpoint: endpoint, Outcome: outcomeDenied}
		select {
		case c.slots <- struct{}{}:
			result = c.check(endpoint)
			<-c.slots
		default:
		}
		_ = c.inbox.Post(c.ctx, result) // fails only if the pilot is shutting down
	})
}

// Wait waits until no check is running.
func (c *Checker) Wait() { c.running.Wait() }

// check checks an endpoint and returns the result, including the duration of the check.
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

// outcomeOf returns the outcome of a check that failed with err.
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

// exchange sends a request for the load of an endpoint on a new connection and returns the answer.
func (c *Checker) exchange(ctx context.Context, endpoint string) (*wire.Response, error) {
	conn, err := c.dial(ctx, "tcp", endpoint)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	defer func() { _ = conn.Close() }() // no data remains to be written
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
		return nil, fmt.Errorf("%T in answer to a health check: %w", m, wire.ErrType)
	}
	return answer, nil
}

// Disabled is the health checker of a pilot for which health checks are disabled.
type Disabled struct{}

// Probe does nothing.
func (Disabled) Probe(string) {}
