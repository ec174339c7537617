package endpoint

import (
	"context"
	"net"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// process is one process of an endpoint. All its goroutines are in wg and end after ctx.
type process struct {
	*Endpoint
	started time.Time
	cold    bool
	jobs    chan job // has room for all that inFlight lets in
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	// Guarded by the endpoint's mu.
	conns           map[net.Conn]bool
	busyCoreSeconds float64 // that the cores have worked
	served          float64 // requests
	waiting         int     // requests that no core works on yet
	inFlight        int     // requests admitted and not executed yet
	warmUpLoad      WarmUpLoad
	overloaded      bool // while it warmed up: no request is answered any longer
	load            []wire.LoadMetric
}

// job is an admitted request and the way to answer it.
type job struct {
	req   *wire.Request
	reply func(*wire.Response)
}

// newProcess makes a process that does nothing yet.
func newProcess(e *Endpoint, cold bool) *process {
	p := &process{
		Endpoint: e,
		started:  time.Now(),
		cold:     cold,
		jobs:     make(chan job, e.QueueLimit+e.Cores),
		conns:    map[net.Conn]bool{},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// start serves until cancel.
func (p *process) start(listener net.Listener) {
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	p.wg.Go(func() { p.accept(listener) })
	p.wg.Go(p.refreshReports)
	for range p.Cores {
		p.wg.Go(p.runCore)
	}
}

// admit takes a request into the queue, rejects it or fails it.
func (p *process) admit(req *wire.Request, reply func(*wire.Response)) {
	p.events.Add(eventlog.Event{What: eventlog.Arrive, Peer: req.From, Kind: req.Class, Req: req.RequestID, Value: req.WorkMs})
	now := time.Now()
	p.mu.Lock()
	affected := p.fault.OnlyClass == "" || p.fault.OnlyClass == req.Class
	fails := affected && p.fault.ErrorFraction > 0 && p.random.Float64() < p.fault.ErrorFraction
	overloaded := p.countWarmUpLoad(now, req.WorkMs)
	full := p.inFlight >= p.Cores+p.QueueLimit
	hangs := p.fault.Hang && affected
	if !fails && !overloaded && !full && !hangs {
		p.inFlight++
		p.waiting++
	}
	load := p.load
	p.mu.Unlock()
	switch {
	case overloaded || hangs:
		return // taken and never answered
	case fails:
		reply(&wire.Response{Number: req.Number, Outcome: wire.Errored, Load: load})
	case full:
		reply(&wire.Response{Number: req.Number, Outcome: wire.Denied, RetryAfterMs: p.RetryAfterMs, Load: load})
	default:
		p.jobs <- job{req, reply}
	}
}

// countWarmUpLoad counts work that comes to a process and returns whether it is overloaded, now or since earlier. The
// caller holds mu.
func (p *process) countWarmUpLoad(now time.Time, workMs float64) bool {
	if p.overloaded || !p.cold {
		return p.overloaded
	}
	overloaded, fraction := p.warmUpLoad.Add(&p.Model, now.Sub(p.started), workMs)
	p.overloaded = overloaded
	if overloaded {
		p.events.Add(eventlog.Event{What: eventlog.Fell, N: p.starts, Value: fraction})
	}
	return overloaded
}

// runCore is one core: it executes one request after another until the process ends.
func (p *process) runCore() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case j := <-p.jobs:
			p.execute(j)
		}
	}
}

// execute does the work of a request, logs its effect and answers it. If the process ends meanwhile the request has no
// effect and no answer.
func (p *process) execute(j job) {
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
	completed := p.work(j.req.WorkMs)
	repeat, load := p.countServed(j.req)
	if !completed {
		return
	}
	if p.Effects[j.req.Class] && !repeat {
		p.events.Add(eventlog.Event{What: eventlog.Effect, Peer: j.req.From, Kind: j.req.Class, Req: j.req.RequestID})
	}
	j.reply(&wire.Response{Number: j.req.Number, Outcome: wire.Succeeded, Load: load})
}

// countServed counts a request that has left its core and enters it into the ledger. It returns whether the ledger had
// it already, and the load report.
func (p *process) countServed(req *wire.Request) (repeat bool, load []wire.LoadMetric) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
	p.served++
	if p.Deduplicated[req.Class] {
		repeat = p.ledger[req.RequestID]
		p.ledger[req.RequestID] = true
	}
	return repeat, p.load
}

// work sleeps for as long as work takes at the speed of the moment. It returns false if the process ended meanwhile.
func (p *process) work(workMs float64) bool {
	tookMs := workMs / (p.Speed * p.SpeedFraction(p.cold, time.Since(p.started)))
	timer := time.NewTimer(time.Duration(tookMs * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busyCoreSeconds += tookMs / 1000
	return true
}
