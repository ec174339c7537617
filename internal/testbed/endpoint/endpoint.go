// Package endpoint is a stand-in for an endpoint: cores of some speed, a bounded queue, a cap on connections, a cold
// start, load reports that are late and noisy, and a ledger of effects. It does work by sleeping for as long as the
// work would take. It serves the framed protocol's Req and Probe.
package endpoint

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/wire"
)

// Model is what an endpoint is made of.
type Model struct {
	Name, Zone, Machine    string
	Cell                   int
	Cores                  int
	Speed                  float64
	QueueLimit                  int // reqs that wait; one more is denied
	MaxConnections                  int // connections it takes
	HandshakeMs            float64
	ReportEvery, ReportLag time.Duration
	ReportNoise                  float64 // of a report, as a part of the figure
	WarmUp                   time.Duration
	WarmUpFrom, OverloadMultiple float64
	OverloadWindow                   time.Duration
	RetryAfterMs             float64
	Effects                map[string]bool // kinds whose effects go into the ledger
	Deduplicated                  map[string]bool // kinds whose repeats are dropped (uniqued)
	Seed                   uint64
}

// FaultMode is what is wrong with an endpoint.
type FaultMode struct {
	Hang    bool
	ErrorFraction  float64 // part of the reqs that fail at once
	OnlyClass string  // of this class, if not empty
	ExtraHandshakeMs  float64 // more ms of work for a new connection
	AnswerTwice   bool    // answers each req twice
}

// Endpoint is one machine; its process can die and come back.
type Endpoint struct {
	Model
	address string
	events    *eventlog.Stream
	mu      sync.Mutex
	process    *process
	starts  int
	fault    FaultMode
	ledger  map[uint64]bool // reqs that took effect, for kinds whose repeats are dropped
	random     *rand.Rand
}

// process is one process.
type process struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	started   time.Time
	cold    bool
	conns   map[net.Conn]bool
	jobs    chan job
	busyCoreSeconds    float64 // core-seconds used
	served  float64
	waiting int
	inFlight  int
	warmUpLoad    WarmUpLoad
	load    []wire.Figure
	overloaded  bool
}

type job struct {
	req   *wire.Req
	reply func(*wire.Answer)
}

// New returns an endpoint that has not started.
func New(m Model, book *eventlog.Stream) *Endpoint {
	return &Endpoint{Model: m, events: book, ledger: map[uint64]bool{}, random: rand.New(rand.NewPCG(m.Seed, 11))}
}

// Start begins a process at the address of the first one, cold or warm.
func (e *Endpoint) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return fmt.Errorf("start %s: it runs", e.Name)
	}
	l, err := network.Listen(e.address)
	if err != nil {
		return fmt.Errorf("start %s: %w", e.Name, err)
	}
	e.address = l.Addr().String()
	e.starts++
	proc := &process{started: time.Now(), cold: cold, conns: map[net.Conn]bool{}, jobs: make(chan job, e.QueueLimit+e.Cores)}
	proc.ctx, proc.cancel = context.WithCancel(context.Background())
	e.process = proc
	e.events.Add(eventlog.Event{What: eventlog.Start, N: e.starts, Value: float64(e.Cores) * e.Speed, Text: e.Zone,
		Kind: map[bool]string{true: "cold", false: "warm"}[cold]})
	context.AfterFunc(proc.ctx, func() { _ = l.Close() })
	proc.wg.Go(func() { e.accept(proc, l) })
	proc.wg.Go(func() { e.refreshReports(proc) })
	for range e.Cores {
		proc.wg.Go(func() { e.runCore(proc) })
	}
	return nil
}

// Kill ends the process: connections break, work is lost.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	proc := e.process
	e.process = nil
	if proc != nil {
		e.events.Add(eventlog.Event{What: eventlog.Stop, N: e.starts})
		proc.cancel()
		for c := range proc.conns {
			_ = c.Close()
		}
	}
	e.mu.Unlock()
	if proc != nil {
		proc.wg.Wait()
	}
}

// Address returns where it listens, from its first start on.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// SetFaultMode changes the fault.
func (e *Endpoint) SetFaultMode(m FaultMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = m
}

// speedFraction returns the part of its full speed at a time.
func (e *Endpoint) speedFraction(proc *process, now time.Time) float64 {
	return e.SpeedFraction(proc.cold, now.Sub(proc.started))
}

func (e *Endpoint) accept(proc *process, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		full := len(proc.conns) >= e.MaxConnections || proc.ctx.Err() != nil
		if !full {
			proc.conns[c] = true
		}
		e.mu.Unlock()
		if full {
			_ = c.Close()
			continue
		}
		proc.wg.Go(func() { e.serve(proc, c) })
	}
}

func (e *Endpoint) serve(proc *process, c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(proc.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	e.handshake(proc)
	var mu sync.Mutex
	w := wire.NewWriter(c)
	reply := func(a *wire.Answer) {
		mu.Lock()
		defer mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		times := 1
		if e.currentFault().AnswerTwice {
			times = 2
		}
		for range times {
			if _, err := w.Write(a); err != nil {
				_ = c.Close()
			}
		}
	}
	r := wire.NewReader(c, 1<<16)
	for {
		m, err := r.Read()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *wire.Req:
			e.admit(proc, m, reply)
		case *wire.Probe:
			if !e.currentFault().Hang {
				reply(&wire.Answer{Number: m.Number, Outcome: wire.Fine, Load: e.currentReport(proc)})
			}
		default:
			return
		}
	}
}

// handshake spends what a new connection costs.
func (e *Endpoint) handshake(proc *process) {
	cost := e.HandshakeMs + e.currentFault().ExtraHandshakeMs
	e.spend(proc, cost)
}

func (e *Endpoint) currentFault() FaultMode {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

func (e *Endpoint) currentReport(proc *process) []wire.Figure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return proc.load
}

// admit lets a req in, denies it or fails it.
func (e *Endpoint) admit(proc *process, m *wire.Req, reply func(*wire.Answer)) {
	e.events.Add(eventlog.Event{What: eventlog.Arrive, Peer: m.From, Kind: m.Kind, Req: m.Name, Value: m.WorkMs})
	now := time.Now()
	e.mu.Lock()
	fault := e.fault
	struck := fault.OnlyClass == "" || fault.OnlyClass == m.Kind
	fails := struck && fault.ErrorFraction > 0 && e.random.Float64() < fault.ErrorFraction
	over := e.overloaded(proc, now, m.WorkMs)
	full := proc.inFlight >= e.Cores+e.QueueLimit
	hangs := fault.Hang && struck
	if !fails && !over && !full && !hangs {
		proc.inFlight++
		proc.waiting++
	}
	load := proc.load
	e.mu.Unlock()
	switch {
	case over || hangs:
		return // taken and never answered
	case fails:
		reply(&wire.Answer{Number: m.Number, Outcome: wire.Errored, Load: load})
	case full:
		reply(&wire.Answer{Number: m.Number, Outcome: wire.Denied, ComeBackMs: e.RetryAfterMs, Load: load})
	default:
		proc.jobs <- job{m, reply} // has room for all that inHand lets in
	}
}

// overloaded notes work that comes to a cold process and returns whether it has fallen over.
func (e *Endpoint) overloaded(proc *process, now time.Time, work float64) bool {
	if proc.overloaded || !proc.cold {
		return proc.overloaded
	}
	over, part := proc.warmUpLoad.Add(&e.Model, now.Sub(proc.started), work)
	if proc.overloaded = over; over {
		e.events.Add(eventlog.Event{What: eventlog.Fell, N: e.starts, Value: part})
	}
	return over
}

// runCore does one core's work.
func (e *Endpoint) runCore(proc *process) {
	for {
		select {
		case <-proc.ctx.Done():
			return
		case j := <-proc.jobs:
			e.execute(proc, j)
		}
	}
}

func (e *Endpoint) execute(proc *process, j job) {
	e.mu.Lock()
	proc.waiting--
	e.mu.Unlock()
	done := e.spend(proc, j.req.WorkMs)
	e.mu.Lock()
	proc.inFlight--
	proc.served++
	repeat := e.Deduplicated[j.req.Kind] && e.ledger[j.req.Name]
	if e.Deduplicated[j.req.Kind] {
		e.ledger[j.req.Name] = true
	}
	load := proc.load
	e.mu.Unlock()
	if !done {
		return
	}
	if e.Effects[j.req.Kind] && !repeat {
		e.events.Add(eventlog.Event{What: eventlog.Effect, Peer: j.req.From, Kind: j.req.Kind, Req: j.req.Name})
	}
	j.reply(&wire.Answer{Number: j.req.Number, Outcome: wire.Fine, Load: load})
}

// spend sleeps for as long as work takes now, and returns false if the process ended meanwhile.
func (e *Endpoint) spend(proc *process, workMs float64) bool {
	took := workMs / (e.Speed * e.speedFraction(proc, time.Now()))
	t := time.NewTimer(time.Duration(took * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-proc.ctx.Done():
		return false
	}
	e.mu.Lock()
	proc.busyCoreSeconds += took / 1000
	e.mu.Unlock()
	return true
}

// refreshReports refreshes the load report now and then. What is shown is as old as the lag.
func (e *Endpoint) refreshReports(proc *process) {
	tick := time.NewTicker(e.ReportEvery)
	defer tick.Stop()
	var busy, served float64
	last := time.Now()
	var late []wire.Figure
	for {
		select {
		case <-proc.ctx.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		span := time.Since(last).Seconds()
		last = time.Now()
		noise := func() float64 { return math.Max(0, 1+e.ReportNoise*e.random.NormFloat64()) }
		util := math.Min(1, (proc.busyCoreSeconds-busy)/span/float64(e.Cores)) * noise()
		fresh := []wire.Figure{{Name: "util", Value: util}, {Name: "rate", Value: (proc.served - served) / span * noise()},
			{Name: "waiting", Value: float64(proc.waiting)}, {Name: "in_hand", Value: float64(proc.inFlight)}}
		busy, served = proc.busyCoreSeconds, proc.served
		if e.ReportLag > 0 {
			proc.load, late = late, fresh
		} else {
			proc.load = fresh
		}
		e.mu.Unlock()
	}
}
