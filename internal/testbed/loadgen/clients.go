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

// dialTimeout is how long a client waits for a connection to a proxy.
const dialTimeout = 250 * time.Millisecond

// Outcomes of a request, as the event log spells them.
const (
	outcomeDone     = "done"
	outcomeErrored  = "errored" // it failed and may have run
	outcomeRejected = "denied"  // it is known not to have run
)

// Clients sends a load to proxies.
type Clients struct {
	Load    Load
	Events  *eventlog.Stream
	Proxies []*proxy.Client
}

// NewClients returns clients of the proxies at some addresses.
func NewClients(load Load, events *eventlog.Stream, addresses []string) *Clients {
	c := &Clients{Load: load, Events: events}
	dial := (&net.Dialer{}).DialContext
	for _, address := range addresses {
		c.Proxies = append(c.Proxies, proxy.NewClient(address, dial, dialTimeout))
	}
	return c
}

// Run sends all requests at their times and returns when the last has ended, or soon after ctx.
func (c *Clients) Run(ctx context.Context) {
	start := time.Now()
	var requests sync.WaitGroup
	source := NewSource(c.Load)
	for name := uint64(1); ; name++ {
		request, more := source.Next()
		if !more {
			break
		}
		sleep(ctx, time.Until(start.Add(request.At)))
		if ctx.Err() != nil {
			break
		}
		requests.Go(func() { c.run(ctx, name, request) })
	}
	requests.Wait()
	for _, client := range c.Proxies {
		client.Close()
	}
}

// run sends one request, with its retries, and logs its outcome.
func (c *Clients) run(ctx context.Context, name uint64, request Request) {
	class := c.Load.Classes[request.Class]
	c.Events.Add(eventlog.Event{What: eventlog.Asked, Kind: class.Name, Req: name})
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, class.Timeout)
	defer cancel()
	outcome := c.sendWithRetries(ctx, name, request, start.Add(class.Timeout))
	tookMs := float64(time.Since(start)) / float64(time.Millisecond)
	c.Events.Add(eventlog.Event{What: eventlog.Answered, Kind: class.Name, Req: name, Value: tookMs, Text: outcome})
}

// sendWithRetries sends a request until it is answered, may not be retried, or ctx ends, and returns its last outcome.
func (c *Clients) sendWithRetries(ctx context.Context, name uint64, request Request, deadline time.Time) string {
	for retries := 0; ; retries++ {
		outcome, retryAfter := c.send(ctx, name, request, deadline)
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

// send sends a request once. It returns the outcome, and how long the proxy asks to wait before a retry.
func (c *Clients) send(ctx context.Context, name uint64, request Request, deadline time.Time) (string, time.Duration) {
	answer, err := c.Proxies[request.Proxy].Do(ctx, &wire.Request{
		RequestID: name,
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

// sleep waits for a while or until ctx ends.
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
