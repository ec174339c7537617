package emulator

import (
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// clientsName is who logs the clients' events.
const clientsName = "clients"

// Outcomes of a request as its client logs them.
const (
	outcomeDone     = "done"
	outcomeRejected = "denied"
	outcomeErrored  = "errored"
)

// scheduleClients has requests sent at their times. Each is drawn once the one before it has been sent.
func (w *World) scheduleClients() {
	load := loadgen.FromScenario(w.Scenario)
	source := loadgen.NewSource(load)
	number := uint64(0)
	var scheduleNext func()
	scheduleNext = func() {
		request, more := source.Next()
		if !more {
			return
		}
		w.At(milliseconds(request.At), func() {
			number++
			w.startRequest(number, request, &load)
			scheduleNext()
		})
	}
	scheduleNext()
}

// clientRequest is a client's request with its attempts. It ends with the first success, with its last retry or at the
// client's timeout.
type clientRequest struct {
	w         *World
	number    uint64
	request   loadgen.Request
	class     *loadgen.RequestClass
	startedAt float64 // ms
	deadline  float64 // ms
	attempts  int     // after the first
	retries   int     // that the client makes at most
	backoffMs float64 // before each retry
	ended     bool
}

// startRequest sends a request on behalf of a client.
func (w *World) startRequest(number uint64, request loadgen.Request, load *loadgen.Load) {
	class := &load.Classes[request.Class]
	w.result.Requests++
	w.logEvent(clientsName, eventlog.Event{What: eventlog.Asked, Kind: class.Name, Req: number})
	c := &clientRequest{
		w:         w,
		number:    number,
		request:   request,
		class:     class,
		startedAt: w.now,
		deadline:  w.now + milliseconds(class.Timeout),
		retries:   load.Retries,
		backoffMs: milliseconds(load.Backoff),
	}
	w.clientDeadlines[request.Class].add(c.deadline, c)
	c.attempt()
}

// attempt sends the request to its proxy, with what is left of the client's timeout.
func (c *clientRequest) attempt() {
	if c.ended {
		return
	}
	request := &wire.Request{
		RequestID: c.number,
		Class:     c.class.Name,
		Key:       c.request.Key,
		From:      "client",
		WorkMs:    c.request.WorkMs,
	}
	c.w.proxies[c.request.Proxy].handle(request, c.deadline-c.w.now, c.answered)
}

// answered takes the proxy's answer to an attempt; nil means that the proxy does not run and has done nothing.
func (c *clientRequest) answered(answer *wire.Response) {
	if answer != nil && answer.Outcome == wire.Succeeded {
		c.end(outcomeDone)
		return
	}
	neverRan := answer == nil || answer.Outcome == wire.Denied
	mayRetry := neverRan || c.class.Replayable
	if c.attempts >= c.retries || !mayRetry {
		c.endFailed(neverRan)
		return
	}
	wait := c.backoffMs
	if answer != nil {
		wait = max(wait, answer.RetryAfterMs)
	}
	c.attempts++
	c.w.After(wait, c.attempt)
}

// endFailed ends a request that got no answer. One that never ran anywhere counts as rejected.
func (c *clientRequest) endFailed(neverRan bool) {
	if neverRan {
		c.end(outcomeRejected)
		return
	}
	c.end(outcomeErrored)
}

// isOver implements expirable.
func (c *clientRequest) isOver() bool { return c.ended }

// expire ends the request at the client's timeout.
func (c *clientRequest) expire() { c.end(outcomeErrored) }

func (c *clientRequest) end(outcome string) {
	if c.ended {
		return
	}
	c.ended = true
	tookMs := c.w.now - c.startedAt
	if outcome == outcomeDone {
		micros := max(minLatencyMicros, int64(tookMs*1000))
		_ = c.w.result.Latency.RecordValue(micros) // within its range: the client's timeout is shorter
	}
	c.w.logEvent(clientsName, eventlog.Event{
		What:  eventlog.Answered,
		Kind:  c.class.Name,
		Req:   c.number,
		Value: tookMs,
		Text:  outcome,
	})
}
