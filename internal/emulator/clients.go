package emulator

import (
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// scheduleClients ask reqs at their times, one drawn after another.
func (w *World) scheduleClients() {
	load := loadgen.Of(w.Scenario)
	source := loadgen.NewSource(load)
	name := uint64(0)
	var next func()
	next = func() {
		a, more := source.Next()
		if !more {
			return
		}
		w.At(milliseconds(a.At), func() {
			name++
			w.startRequest(name, a, &load.Kinds[a.Kind], load.Retries, milliseconds(load.Backoff))
			next()
		})
	}
	next()
}

// startRequest takes a client's req through its retries.
func (w *World) startRequest(name uint64, a loadgen.Request, k *loadgen.Kind, retries int, backoff float64) {
	w.result.Requests++
	start, until := w.now, w.now+milliseconds(k.Timeout)
	w.logEvent("clients", eventlog.Event{What: eventlog.Asked, Kind: k.Name, Req: name})
	c := &clientRequest{w: w, number: name, request: a, class: k, startedAt: start, deadline: until, retries: retries, backoffMs: backoff}
	w.clientDeadlines[a.Kind].add(until, c)
	c.attempt()
}

// clientRequest is a client's req under way.
type clientRequest struct {
	w                   *World
	number              uint64
	request             loadgen.Request
	class               *loadgen.Kind
	startedAt, deadline float64
	attempts            int
	retries             int
	backoffMs           float64
	ended               bool
}

func (c *clientRequest) isOver() bool { return c.ended }

// expire ends a req whose client has lost its patience.
func (c *clientRequest) expire() { c.end("errored") }

func (c *clientRequest) end(outcome string) {
	if c.ended {
		return
	}
	c.ended = true
	took := c.w.now - c.startedAt
	if outcome == "done" {
		_ = c.w.result.Latency.RecordValue(max(1, int64(took*1000))) // within its range by the client timeout
	}
	c.w.logEvent("clients", eventlog.Event{What: eventlog.Answered, Kind: c.class.Name, Req: c.number, Value: took, Text: outcome})
}

func (c *clientRequest) attempt() {
	if c.ended {
		return
	}
	req := &wire.Req{Name: c.number, Kind: c.class.Name, Key: c.request.Key, From: "client", WorkMs: c.request.WorkMs}
	c.w.proxies[c.request.Proxy].handle(req, c.deadline-c.w.now, c.answered)
}

// answered takes in a proxy's answer; nil is one that does not run, and takes nothing.
func (c *clientRequest) answered(ans *wire.Answer) {
	never := ans == nil || ans.Outcome == wire.Denied
	switch {
	case ans != nil && ans.Outcome == wire.Fine:
		c.end("done")
		return
	case c.attempts >= c.retries || !never && !c.class.Replayable:
		c.end(map[bool]string{true: "denied", false: "errored"}[never])
		return
	}
	wait := c.backoffMs
	if ans != nil {
		wait = max(wait, ans.ComeBackMs)
	}
	c.attempts++
	c.w.After(wait, c.attempt)
}
