package loadgen

import (
	"context"
	"net"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// dialTimeout is the timeout of a client's dial to a proxy.
const dialTimeout = 250 * time.Millisecond

// Outcomes of a request, with their names in the event log.
const (
	outcomeDone     = "done"
	outcomeErrored  = "errored" // the request failed, and an endpoint may have executed it
	outcomeRejected = "denied"  // the request is known not to have been executed
)

// Clients simulates the clients that send the requests of a load to proxies.
type Clients struct {
	Load    Load
	Events  *eventlog.Stream
	Proxies []*proxy.Client
}

// NewClients returns clients that send a load to the proxies at addresses. Request.Proxy is an index into addresses.
func NewClients(load Load, events *eventlog.Stream, addresses []string) *Clients {
	c := &Clients{Load: load, Events: events}
	dial := (&net.Dialer{}).DialContext
	for _, address := range addresses {
		c.Proxies = append(c.Proxies, proxy.NewClient(address, dial, dialTimeout))
	}
	return c
}

// Run sends every request of the load at its time and returns when all have finished, or soon after ctx is done. It
// then closes the connections to the proxies.
func (c *Clients) Run(ctx context.Context) {
	start := time.Now()
	var requests sync.WaitGroup
	source := NewSource(c.Load)
	for requestID := uint64(1); ; requestID++ {
		request, more := source.Next()
		if !more {
			break
		}
		sleep(ctx, time.Until(start.Add(request.At)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() { c.run(ctx, requestID, request) })
	}
	requests.Wait()
	for _, client := range c.Proxies {
		client.Close()
	}
}

// run sends one request, including retries, and logs its outcome.
func (c *Clients) run(ctx context.Context, requestID uint64, request Request) {
	class := c.Load.Classes[request.Class]
	c.Events.Add(eventlog.Event{What: eventlog.Asked, Kind: class.Name, Req: requestID})
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, class.Timeout)
	defer cancel()
	outcome := c.sendWithRetries(ctx, requestID, request, start.Add(class.Timeout))
	tookMs := float64(time.Since(start)) / float64(time.Millisecond)
	c.Events.Add(eventlog.Event{What: eventlog.Answered, Kind: class.Name, Req: requestID, Value: tookMs, Text: outcome})
}

// sendWithRetries sends a request and retries it until it succeeds, may not be retried, or ctx is done. It returns the
// outcome of the last attempt.
func (c *Clients) sendWithRetries(ctx context.Context, requestID uint64, request Request, deadline time.Time) string {
	for retries := 0; ; retries++ {
		outcome, retryAfter := c.send(ctx, requestID, request, deadline)
		if outcome == outcomeDone {
			return outcome
		}
		retryable := outcome == outcomeRejected || c.Load.Classes[request.Class].Replayable
		if retries >= c.Load.Retries || !retryable {
			return outcome
		}
		sleep(ctx, max(c.Load.Backoff, retryAfter))
		if ctx.Err() != nil {
			return outcome
		}
	}
}

// send sends a request once. It returns the outcome and how long the proxy asks the client to wait before a retry; 0 if
// it does not ask.
func (c *Clients) send(ctx context.Context, requestID uint64, request Request, deadline time.Time) (string, time.Duration) {
	answer, err := c.Proxies[request.Proxy].Do(ctx, &wire.Request{
		RequestID: requestID,
		Class:     c.Load.Classes[request.Class].Name,
		Key:       request.Key,
		From:      "client",
		WorkMs:    request.WorkMs,
		TimeoutMs: float64(time.Until(deadline)) / float64(time.Millisecond),
	})
	if err != nil {
		if proxy.NotSent(err) {
			return outcomeRejected, 0
		}
		return outcomeErrored, 0
	}
	retryAfter := time.Duration(answer.RetryAfterMs * float64(time.Millisecond))
	switch answer.Outcome {
	case wire.Succeeded:
		return outcomeDone, 0
	case wire.Denied:
		return outcomeRejected, retryAfter
	}
	return outcomeErrored, retryAfter
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
