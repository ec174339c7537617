package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// emulatedEndpoint is an endpoint: the model that the stand-in on sockets is made of, with its work done in virtual time.
type emulatedEndpoint struct {
	endpoint.Model
	w           *World
	place       place
	sharesCores bool // cores are shared by all that is in hand; else it waits for one
	fault       endpoint.FaultMode
	process     *endpointProcess
	starts      int
	completed   map[uint64]bool
	random      *rand.Rand
	pausedUntil float64 // until when all cores stand still
	thrash      float64 // part by which it slows for each req in hand beyond its cores
}

// endpointProcess is one process.
type endpointProcess struct {
	startedAt      float64
	cold           bool
	connections    map[string]bool
	queue          []*task
	busyCores      int
	sharing        []*task // with sharing: all in hand
	countedAt      float64 // with sharing: when work was last counted off
	wakeNumber     uint64
	inFlight       int
	busyMs         float64 // core-ms
	served         float64
	overload       endpoint.Push
	collapsed      bool
	load           []wire.Figure
	nextLoad       []wire.Figure
	reportedBusyMs float64
	reportedServed float64
}

// task is a req in hand.
type task struct {
	request *wire.Req
	workMs  float64 // ms on a core of speed 1 that are left
	answer  func(outcome wire.Outcome, comeBackMs float64, load []wire.Figure)
}

func (w *World) addEndpoint(name string, group int, cold bool) *emulatedEndpoint {
	g := w.Scenario.Groups[group]
	speed := g.Speed * math.Exp(g.Spread*w.random.NormFloat64())
	effects, dedup := map[string]bool{}, map[string]bool{}
	for _, k := range w.Scenario.Kinds {
		effects[k.Name], dedup[k.Name] = k.Repeats != "replayable", k.Repeats == "uniqued"
	}
	m := &emulatedEndpoint{w: w, place: place{name, g.Zone}, sharesCores: g.Discipline == "sharing", thrash: g.Thrash, completed: map[uint64]bool{},
		Model: endpoint.Model{Name: name, Zone: g.Zone, Machine: g.Machine, Cores: g.Cores, Speed: speed, Queue: g.Queue, Conns: g.Conns,
			HandshakeMs: milliseconds(g.Handshake), ReportEvery: 400 * time.Millisecond, ReportLag: 200 * time.Millisecond, Noise: w.Scenario.NoisyReports,
			Cold: w.Scenario.Cold, ColdFrom: w.Scenario.ColdFrom, FallMultiple: w.Scenario.FallMultiple, Fall: w.Scenario.Fall, ComeBackMs: 200,
			Effects: effects, Dedup: dedup}}
	m.random = rand.New(rand.NewPCG(uint64(w.Scenario.Seed*7919+len(w.endpoints)), 11))
	w.auditor.AddAddress(name, name)
	w.endpoints, w.endpointByName[name] = append(w.endpoints, m), m
	e := wire.Entry{Endpoint: name, Zone: g.Zone, Machine: g.Machine, Weight: float64(g.Cores) * g.Speed}
	if cold {
		e.Started = w.registry.clock()
	}
	w.entries[name] = e
	m.start(cold)
	return m
}

func (m *emulatedEndpoint) start(cold bool) {
	m.starts++
	m.process = &endpointProcess{startedAt: m.w.now, cold: cold, connections: map[string]bool{}, countedAt: m.w.now}
	m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Start, N: m.starts, Value: float64(m.Cores) * m.Speed, Text: m.Zone,
		Kind: map[bool]string{true: "cold", false: "warm"}[cold]})
	m.scheduleLoadReport(m.process)
}

func (m *emulatedEndpoint) kill() {
	if m.process == nil {
		return
	}
	m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Stop, N: m.starts})
	m.process = nil
	for _, p := range m.w.proxies { // connections break: what was in hand comes back as lost
		p.endpointDied(m.Name)
	}
}

func (m *emulatedEndpoint) warmth(r *endpointProcess) float64 {
	w := m.Warmth(r.cold, time.Duration((m.w.now-r.startedAt)*float64(time.Millisecond)))
	if over := r.inFlight - m.Cores; m.thrash > 0 && over > 0 {
		w /= 1 + m.thrash*float64(over)
	}
	return w
}

// connect returns whether a proxy's connection is taken, and what it costs in ms.
func (m *emulatedEndpoint) connect(from string) (ok bool, costMs float64) {
	r := m.process
	if r == nil {
		return false, 0
	}
	if r.connections[from] {
		return true, 0
	}
	if len(r.connections) >= m.Conns {
		return false, 0
	}
	r.connections[from] = true
	cost := m.HandshakeMs + m.fault.Shakes
	if cost > 0 {
		cost /= m.Speed * m.warmth(r)
		r.busyMs += cost
	}
	return true, cost
}

func (m *emulatedEndpoint) dialMs() float64 { return m.w.dialDelayMs[m.Name] }

// accept lets a req in, denies it, fails it or never answers.
func (m *emulatedEndpoint) accept(t *task) {
	r := m.process
	if r == nil {
		return
	}
	m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Arrive, Peer: t.request.From, Kind: t.request.Kind, Req: t.request.Name, Value: t.request.WorkMs})
	struck := m.fault.OnlyFor == "" || m.fault.OnlyFor == t.request.Kind
	fails := struck && m.fault.Errors > 0 && m.random.Float64() < m.fault.Errors
	if m.overloaded(r, t.request.WorkMs) || m.fault.Hang && struck {
		return
	}
	switch {
	case fails:
		t.answer(wire.Errored, 0, r.load)
		return
	case r.inFlight >= m.Cores+m.Queue:
		t.answer(wire.Denied, m.ComeBackMs, r.load)
		return
	}
	r.inFlight++
	t.workMs = t.request.WorkMs
	if m.sharesCores {
		m.countSharedWork(r)
		r.sharing = append(r.sharing, t)
		m.scheduleSharedEnd(r)
		return
	}
	if r.busyCores < m.Cores {
		m.runOnCore(r, t)
		return
	}
	r.queue = append(r.queue, t)
}

func (m *emulatedEndpoint) overloaded(r *endpointProcess, work float64) bool {
	if r.collapsed || !r.cold {
		return r.collapsed
	}
	over, part := r.overload.Over(&m.Model, time.Duration((m.w.now-r.startedAt)*float64(time.Millisecond)), work)
	if r.collapsed = over; over {
		m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Fell, N: m.starts, Value: part})
	}
	return over
}

// runOnCore has a core do a task, then the next that waits.
func (m *emulatedEndpoint) runOnCore(r *endpointProcess, t *task) {
	r.busyCores++
	took := t.workMs / (m.Speed * m.warmth(r))
	if m.pausedUntil > m.w.now {
		took += m.pausedUntil - m.w.now
	}
	m.w.After(took, func() {
		if m.process != r {
			return
		}
		r.busyMs += took
		r.busyCores--
		m.finish(r, t)
		if len(r.queue) > 0 && r.busyCores < m.Cores {
			next := r.queue[0]
			r.queue = r.queue[1:]
			m.runOnCore(r, next)
		}
	})
}

// finish books a task's effect and answers it.
func (m *emulatedEndpoint) finish(r *endpointProcess, t *task) {
	r.inFlight--
	r.served++
	repeat := m.Dedup[t.request.Kind] && m.completed[t.request.Name]
	if m.Dedup[t.request.Kind] {
		m.completed[t.request.Name] = true
	}
	if m.Effects[t.request.Kind] && !repeat {
		m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Effect, Peer: t.request.From, Kind: t.request.Kind, Req: t.request.Name})
	}
	t.answer(wire.Fine, 0, r.load)
}
