package emulator

import (
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// clientsName is the value of Event.Who in events that clients log.
const clientsName = "clients"

// Outcomes of a request, as stored in the Text field of the client's Answered event.
const (
	outcomeDone     = "done"
	outcomeRejected = "denied"
	outcomeErrored  = "errored"
)

// scheduleClients schedules the client requests of the scenario. The next request is generated only after the
// previous one has been sent, so that at most one pending request is on the clock.
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

// clientRequest is one request of a client, including its retries. It ends at the first success, after the last
// allowed attempt has failed, or at the client's timeout.
type clientRequest struct {
	w         *World
	number    uint64
	request   loadgen.Request
	class     *loadgen.RequestClass
	startedAt float64 // ms
	deadline  float64 // ms
	attempts  int     // retries made so far, not counting the first attempt
	retries   int     // maximum number of retries
	backoffMs float64 // minimum delay before each retry
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

// attempt sends the request to its proxy. The time limit is the remaining part of the client's timeout.
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

// answered handles the proxy's response to an attempt: it ends the request or schedules a retry. A nil answer means
// that the proxy is not running and has not forwarded the request.
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

// endFailed ends a request that did not succeed. It is logged as rejected if no endpoint processed it, otherwise as
// errored.
func (c *clientRequest) endFailed(neverRan bool) {
	if neverRan {
		c.end(outcomeRejected)
		return
	}
	c.end(outcomeErrored)
}

// isOver implements expirable. It reports whether the request has an outcome.
func (c *clientRequest) isOver() bool { return c.ended }

// expire implements expirable. It ends the request as errored at the client's timeout.
func (c *clientRequest) expire() { c.end(outcomeErrored) }

// end logs the outcome of the request and records the latency of a successful one. Later calls have no effect.
func (c *clientRequest) end(outcome string) {
	if c.ended {
		return
	}
	c.ended = true
	tookMs := c.w.now - c.startedAt
	if outcome == outcomeDone {
		micros := max(minLatencyMicros, int64(tookMs*1000))
		_ = c.w.result.Latency.RecordValue(micros) // cannot fail: the client's timeout is below maxLatencyMicros
	}
	c.w.logEvent(clientsName, eventlog.Event{
		What:  eventlog.Answered,
		Kind:  c.class.Name,
		Req:   c.number,
		Value: tookMs,
		Text:  outcome,
	})
}
