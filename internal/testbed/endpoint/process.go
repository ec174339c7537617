package endpoint

import (
	"context"
	"net"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// process is one run of an endpoint, from a start to a kill. Its goroutines are tracked by wg and end once ctx is done.
type process struct {
	*Endpoint
	started time.Time
	cold    bool
	jobs    chan job // buffered for the maximum of inFlight, so that sending never blocks
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	// The fields below are guarded by Endpoint.mu.
	conns           map[net.Conn]bool
	busyCoreSeconds float64 // total time that the cores were busy, in seconds
	served          float64 // number of requests executed
	waiting         int     // number of admitted requests that wait for a core
	inFlight        int     // number of admitted requests that have not finished
	warmUpLoad      WarmUpLoad
	overloaded      bool              // overloaded during warm-up; requests are no longer answered
	load            []wire.LoadMetric // load attached to answers; nil before the first measurement
}

// job is an admitted request and the function that sends its answer.
type job struct {
	req   *wire.Request
	reply func(*wire.Response)
}

// newProcess returns a process that has not been started.
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

// start starts the goroutines of the process, which run until ctx is cancelled.
func (p *process) start(listener net.Listener) {
	context.AfterFunc(p.ctx, func() { _ = listener.Close() })
	p.wg.Go(func() { p.accept(listener) })
	p.wg.Go(p.refreshReports)
	for range p.Cores {
		p.wg.Go(p.runCore)
	}
}

// admit queues a request, rejects it if the queue is full, or lets it fail or hang as the injected faults require.
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
		return // the request is never answered
	case fails:
		reply(&wire.Response{Number: req.Number, Outcome: wire.Errored, Load: load})
	case full:
		reply(&wire.Response{Number: req.Number, Outcome: wire.Denied, RetryAfterMs: p.RetryAfterMs, Load: load})
	default:
		p.jobs <- job{req, reply}
	}
}

// countWarmUpLoad adds the work of a request to the load of a cold process and reports whether the process is or was
// overloaded by it. The caller must hold mu.
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

// runCore simulates one core: it executes queued requests one at a time until the process ends.
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

// execute performs the work of a request, logs its effect and answers it. If the process ends before the work is done,
// the request has no effect and is not answered.
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

// countServed updates the counters after a request has finished and adds requests of deduplicated classes to the
// ledger. It returns whether the ledger already contained the request, and the load to attach to the answer.
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

// work sleeps for as long as workMs ms of work take at the current speed. It returns false if the process ends first.
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
