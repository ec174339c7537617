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
	Queue                  int // reqs that wait; one more is denied
	Conns                  int // connections it takes
	HandshakeMs            float64
	ReportEvery, ReportLag time.Duration
	Noise                  float64 // of a report, as a part of the figure
	Cold                   time.Duration
	ColdFrom, FallMultiple float64
	Fall                   time.Duration
	ComeBackMs             float64
	Effects                map[string]bool // kinds whose effects go into the ledger
	Dedup                  map[string]bool // kinds whose repeats are dropped (uniqued)
	Seed                   uint64
}

// FaultMode is what is wrong with an endpoint.
type FaultMode struct {
	Hang    bool
	Errors  float64 // part of the reqs that fail at once
	OnlyFor string  // of this kind, if not empty
	Shakes  float64 // more ms of work for a new connection
	Twice   bool    // answers each req twice
}

// Endpoint is one machine; its process can die and come back.
type Endpoint struct {
	Model
	address string
	book    *eventlog.Stream
	mu      sync.Mutex
	life    *life
	starts  int
	mood    FaultMode
	ledger  map[uint64]bool // reqs that took effect, for kinds whose repeats are dropped
	rnd     *rand.Rand
}

// life is one process.
type life struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	since   time.Time
	cold    bool
	conns   map[net.Conn]bool
	jobs    chan job
	busy    float64 // core-seconds used
	served  float64
	waiting int
	inHand  int
	push    Push
	load    []wire.Figure
	fallen  bool
}

type job struct {
	req   *wire.Req
	reply func(*wire.Answer)
}

// New returns an endpoint that has not started.
func New(m Model, book *eventlog.Stream) *Endpoint {
	return &Endpoint{Model: m, book: book, ledger: map[uint64]bool{}, rnd: rand.New(rand.NewPCG(m.Seed, 11))}
}

// Start begins a process at the address of the first one, cold or warm.
func (e *Endpoint) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.life != nil {
		return fmt.Errorf("start %s: it runs", e.Name)
	}
	l, err := network.Listen(e.address)
	if err != nil {
		return fmt.Errorf("start %s: %w", e.Name, err)
	}
	e.address = l.Addr().String()
	e.starts++
	li := &life{since: time.Now(), cold: cold, conns: map[net.Conn]bool{}, jobs: make(chan job, e.Queue+e.Cores)}
	li.ctx, li.cancel = context.WithCancel(context.Background())
	e.life = li
	e.book.Add(eventlog.Event{What: eventlog.Start, N: e.starts, Value: float64(e.Cores) * e.Speed, Text: e.Zone,
		Kind: map[bool]string{true: "cold", false: "warm"}[cold]})
	context.AfterFunc(li.ctx, func() { _ = l.Close() })
	li.wg.Go(func() { e.accept(li, l) })
	li.wg.Go(func() { e.reports(li) })
	for range e.Cores {
		li.wg.Go(func() { e.core(li) })
	}
	return nil
}

// Kill ends the process: connections break, work is lost.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	li := e.life
	e.life = nil
	if li != nil {
		e.book.Add(eventlog.Event{What: eventlog.Stop, N: e.starts})
		li.cancel()
		for c := range li.conns {
			_ = c.Close()
		}
	}
	e.mu.Unlock()
	if li != nil {
		li.wg.Wait()
	}
}

// Address returns where it listens, from its first start on.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// SetFaultMode changes the mood.
func (e *Endpoint) SetFaultMode(m FaultMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mood = m
}

// warmth returns the part of its full speed at a time.
func (e *Endpoint) warmth(li *life, now time.Time) float64 {
	return e.Warmth(li.cold, now.Sub(li.since))
}

func (e *Endpoint) accept(li *life, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		full := len(li.conns) >= e.Conns || li.ctx.Err() != nil
		if !full {
			li.conns[c] = true
		}
		e.mu.Unlock()
		if full {
			_ = c.Close()
			continue
		}
		li.wg.Go(func() { e.serve(li, c) })
	}
}

func (e *Endpoint) serve(li *life, c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(li.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	e.greet(li)
	var mu sync.Mutex
	w := wire.NewWriter(c)
	reply := func(a *wire.Answer) {
		mu.Lock()
		defer mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		times := 1
		if e.moodNow().Twice {
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
			e.take(li, m, reply)
		case *wire.Probe:
			if !e.moodNow().Hang {
				reply(&wire.Answer{Number: m.Number, Outcome: wire.Fine, Load: e.report(li)})
			}
		default:
			return
		}
	}
}

// greet spends what a new connection costs.
func (e *Endpoint) greet(li *life) {
	cost := e.HandshakeMs + e.moodNow().Shakes
	e.spend(li, cost)
}

func (e *Endpoint) moodNow() FaultMode {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mood
}

func (e *Endpoint) report(li *life) []wire.Figure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return li.load
}

// take lets a req in, denies it or fails it.
func (e *Endpoint) take(li *life, m *wire.Req, reply func(*wire.Answer)) {
	e.book.Add(eventlog.Event{What: eventlog.Arrive, Peer: m.From, Kind: m.Kind, Req: m.Name, Value: m.WorkMs})
	now := time.Now()
	e.mu.Lock()
	mood := e.mood
	struck := mood.OnlyFor == "" || mood.OnlyFor == m.Kind
	fails := struck && mood.Errors > 0 && e.rnd.Float64() < mood.Errors
	over := e.pushed(li, now, m.WorkMs)
	full := li.inHand >= e.Cores+e.Queue
	hangs := mood.Hang && struck
	if !fails && !over && !full && !hangs {
		li.inHand++
		li.waiting++
	}
	load := li.load
	e.mu.Unlock()
	switch {
	case over || hangs:
		return // taken and never answered
	case fails:
		reply(&wire.Answer{Number: m.Number, Outcome: wire.Errored, Load: load})
	case full:
		reply(&wire.Answer{Number: m.Number, Outcome: wire.Denied, ComeBackMs: e.ComeBackMs, Load: load})
	default:
		li.jobs <- job{m, reply} // has room for all that inHand lets in
	}
}

// pushed notes work that comes to a cold process and returns whether it has fallen over.
func (e *Endpoint) pushed(li *life, now time.Time, work float64) bool {
	if li.fallen || !li.cold {
		return li.fallen
	}
	over, part := li.push.Over(&e.Model, now.Sub(li.since), work)
	if li.fallen = over; over {
		e.book.Add(eventlog.Event{What: eventlog.Fell, N: e.starts, Value: part})
	}
	return over
}

// core does one core's work.
func (e *Endpoint) core(li *life) {
	for {
		select {
		case <-li.ctx.Done():
			return
		case j := <-li.jobs:
			e.work(li, j)
		}
	}
}

func (e *Endpoint) work(li *life, j job) {
	e.mu.Lock()
	li.waiting--
	e.mu.Unlock()
	done := e.spend(li, j.req.WorkMs)
	e.mu.Lock()
	li.inHand--
	li.served++
	repeat := e.Dedup[j.req.Kind] && e.ledger[j.req.Name]
	if e.Dedup[j.req.Kind] {
		e.ledger[j.req.Name] = true
	}
	load := li.load
	e.mu.Unlock()
	if !done {
		return
	}
	if e.Effects[j.req.Kind] && !repeat {
		e.book.Add(eventlog.Event{What: eventlog.Effect, Peer: j.req.From, Kind: j.req.Kind, Req: j.req.Name})
	}
	j.reply(&wire.Answer{Number: j.req.Number, Outcome: wire.Fine, Load: load})
}

// spend sleeps for as long as work takes now, and returns false if the process ended meanwhile.
func (e *Endpoint) spend(li *life, workMs float64) bool {
	took := workMs / (e.Speed * e.warmth(li, time.Now()))
	t := time.NewTimer(time.Duration(took * float64(time.Millisecond)))
	defer t.Stop()
	select {
	case <-t.C:
	case <-li.ctx.Done():
		return false
	}
	e.mu.Lock()
	li.busy += took / 1000
	e.mu.Unlock()
	return true
}

// reports refreshes the load report now and then. What is shown is as old as the lag.
func (e *Endpoint) reports(li *life) {
	tick := time.NewTicker(e.ReportEvery)
	defer tick.Stop()
	var busy, served float64
	last := time.Now()
	var late []wire.Figure
	for {
		select {
		case <-li.ctx.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		span := time.Since(last).Seconds()
		last = time.Now()
		noise := func() float64 { return math.Max(0, 1+e.Noise*e.rnd.NormFloat64()) }
		util := math.Min(1, (li.busy-busy)/span/float64(e.Cores)) * noise()
		fresh := []wire.Figure{{Name: "util", Value: util}, {Name: "rate", Value: (li.served - served) / span * noise()},
			{Name: "waiting", Value: float64(li.waiting)}, {Name: "in_hand", Value: float64(li.inHand)}}
		busy, served = li.busy, li.served
		if e.ReportLag > 0 {
			li.load, late = late, fresh
		} else {
			li.load = fresh
		}
		e.mu.Unlock()
	}
}
