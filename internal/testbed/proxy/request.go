package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// Reasons for rejecting a request, with their names in the event log.
const (
	rejectedByLevel = "level"   // the admission level does not admit the request
	noEndpoint      = "no line" // the table for the request has no endpoint
)

// handle admits and forwards one request and returns the answer for the client.
func (p *process) handle(req *wire.Request) *wire.Response {
	class := slices.Index(p.Routing.Classes, req.Class)
	if class < 0 {
		return &wire.Response{Outcome: wire.Denied}
	}
	clientTimeout := time.Duration(req.TimeoutMs * float64(time.Millisecond))
	deadline := time.Now().Add(min(p.ClientTimeouts[class], clientTimeout))
	if !p.admit(req, class) {
		p.logRejection(req, rejectedByLevel)
		return &wire.Response{Outcome: wire.Denied, RetryAfterMs: routing.RetryAfterMs}
	}
	outcome := p.forward(req, class, deadline)
	switch outcome {
	case wire.Denied:
		return &wire.Response{Outcome: outcome, RetryAfterMs: routing.RetryAfterMs}
	case wire.Errored:
		p.mu.Lock()
		p.router.RequestUnanswered(class, req.Key)
		p.mu.Unlock()
	}
	return &wire.Response{Outcome: outcome}
}

// admit counts a request and decides at random whether to admit it. It waits while commands are applied.
func (p *process) admit(req *wire.Request, class int) bool {
	p.applying.RLock()
	defer p.applying.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.RequestArrived(class, req.Key)
	return p.router.Admit(class)
}

// forward sends a request to an endpoint and retries it at others, as far as the retry mode and the deadline allow. It
// returns wire.Denied only if no attempt can have been executed.
func (p *process) forward(req *wire.Request, class int, deadline time.Time) wire.Outcome {
	var tried []string
	failure := wire.Denied
	for {
		endpoint, retryMode := p.pickEndpoint(req, class, tried)
		if endpoint == "" {
			p.logRejection(req, noEndpoint)
			return failure
		}
		tried = append(tried, endpoint)
		answer, err := p.attempt(endpoint, req, p.attemptTimeout(retryMode, class, len(tried), deadline))
		if err == nil && answer.Outcome == wire.Succeeded {
			return wire.Succeeded
		}
		notRun := errors.Is(err, errNotSent) || err == nil && answer.Outcome == wire.Denied
		if !notRun {
			failure = wire.Errored
		}
		if !routing.RetryAllowed(retryMode, len(tried), notRun) || !time.Now().Before(deadline) || p.ctx.Err() != nil {
			return failure
		}
	}
}

func (p *process) logRejection(req *wire.Request, reason string) {
	p.events.Add(eventlog.Event{What: eventlog.Refuse, Kind: req.Class, Req: req.RequestID, Text: reason})
}

// pickEndpoint returns the endpoint for the next attempt, or "" if there is none, and the retry mode of the class. It
// waits while commands are applied.
func (p *process) pickEndpoint(req *wire.Request, class int, tried []string) (endpoint string, retryMode int) {
	p.applying.RLock()
	defer p.applying.RUnlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	endpoint = p.router.Pick(p.events.Now(), class, req.Key, tried)
	if endpoint != "" {
		p.router.AttemptStarted(endpoint)
		// Logged while the locks are held, so that no commands are applied between the pick and the log entry.
		p.events.Add(eventlog.Event{
			What: eventlog.Send, Peer: endpoint, Kind: req.Class, Req: req.RequestID, Text: req.Key, N: len(tried) + 1,
		})
	}
	return endpoint, p.router.RetryMode(class)
}

// attemptTimeout returns how long an attempt, counted from 1, waits for its answer.
func (p *process) attemptTimeout(retryMode, class, attempt int, deadline time.Time) time.Duration {
	first := time.Duration(p.FirstAttemptShare * float64(p.LatencyObjectives[class]))
	return routing.AttemptTimeout(retryMode, attempt, time.Until(deadline), first)
}

// attempt sends a request to one endpoint and waits for its answer. An error that wraps errNotSent means that no part
// of the request was sent to the endpoint.
func (p *process) attempt(endpoint string, req *wire.Request, timeout time.Duration) (*wire.Response, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	answer, err := p.poolOf(endpoint).roundTrip(ctx, &wire.Request{
		RequestID: req.RequestID,
		Class:     req.Class,
		Key:       req.Key,
		From:      p.Name,
		WorkMs:    req.WorkMs,
		TimeoutMs: float64(timeout) / float64(time.Millisecond),
	})
	succeeded := err == nil && answer.Outcome == wire.Succeeded
	var load []wire.LoadMetric
	if answer != nil {
		load = answer.Load
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	tookMs := float64(time.Since(start)) / float64(time.Millisecond)
	p.router.AttemptFinished(p.events.Now(), endpoint, succeeded, tookMs, load)
	return answer, err
}

// poolOf returns the connection pool of an endpoint and creates it if necessary.
func (p *process) poolOf(endpoint string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pools[endpoint] == nil {
		p.pools[endpoint] = &pool{address: endpoint, dial: p.Dial, timeout: p.DialTimeout}
	}
	return p.pools[endpoint]
}
