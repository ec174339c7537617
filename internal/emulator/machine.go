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
	sharing     bool // cores are shared by all that is in hand; else it waits for one
	fault       endpoint.FaultMode
	process     *endpointProcess
	starts      int
	done        map[uint64]bool
	random      *rand.Rand
	pausedUntil float64 // until when all cores stand still
	thrash      float64 // part by which it slows for each req in hand beyond its cores
}

// endpointProcess is one process.
type endpointProcess struct {
	since          float64
	cold           bool
	connections    map[string]bool
	queue          []*task
	working        int
	shared         []*task // with sharing: all in hand
	countedAt      float64 // with sharing: when work was last counted off
	wakeNumber     uint64
	inHand         int
	busyMs         float64 // core-ms
	served         float64
	overload       endpoint.Push
	fallen         bool
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

func (m *emulatedEndpoint) start(cold bool) {
	m.starts++
	m.process = &endpointProcess{since: m.w.now, cold: cold, connections: map[string]bool{}, countedAt: m.w.now}
	m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Start, N: m.starts, Value: float64(m.Cores) * m.Speed, Text: m.Zone,
		Kind: map[bool]string{true: "cold", false: "warm"}[cold]})
	m.scheduleReport(m.process)
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
	w := m.Warmth(r.cold, time.Duration((m.w.now-r.since)*float64(time.Millisecond)))
	if over := r.inHand - m.Cores; m.thrash > 0 && over > 0 {
		w /= 1 + m.thrash*float64(over)
	}
	return w
}

// scheduleReport refreshes the load report now and then; what is shown is as old as the lag.
func (m *emulatedEndpoint) scheduleReport(r *endpointProcess) {
	every := float64(m.ReportEvery) / float64(time.Millisecond)
	m.w.After(every, func() {
		if m.process != r {
			return
		}
		noise := func() float64 { return math.Max(0, 1+m.Noise*m.random.NormFloat64()) }
		if m.sharing {
			m.countSharedWork(r)
		}
		util := math.Min(1, (r.busyMs-r.reportedBusyMs)/every/float64(m.Cores)) * noise()
		fresh := []wire.Figure{{Name: "util", Value: util}, {Name: "rate", Value: (r.served - r.reportedServed) / every * 1000 * noise()},
			{Name: "waiting", Value: float64(max(0, r.inHand-m.Cores))}, {Name: "in_hand", Value: float64(r.inHand)}}
		r.reportedBusyMs, r.reportedServed = r.busyMs, r.served
		if m.ReportLag > 0 {
			r.load, r.nextLoad = r.nextLoad, fresh
		} else {
			r.load = fresh
		}
		m.scheduleReport(r)
	})
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
	case r.inHand >= m.Cores+m.Queue:
		t.answer(wire.Denied, m.ComeBackMs, r.load)
		return
	}
	r.inHand++
	t.workMs = t.request.WorkMs
	if m.sharing {
		m.countSharedWork(r)
		r.shared = append(r.shared, t)
		m.scheduleSharedEnd(r)
		return
	}
	if r.working < m.Cores {
		m.runOnCore(r, t)
		return
	}
	r.queue = append(r.queue, t)
}

func (m *emulatedEndpoint) overloaded(r *endpointProcess, work float64) bool {
	if r.fallen || !r.cold {
		return r.fallen
	}
	over, part := r.overload.Over(&m.Model, time.Duration((m.w.now-r.since)*float64(time.Millisecond)), work)
	if r.fallen = over; over {
		m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Fell, N: m.starts, Value: part})
	}
	return over
}

// runOnCore has a core do a task, then the next that waits.
func (m *emulatedEndpoint) runOnCore(r *endpointProcess, t *task) {
	r.working++
	took := t.workMs / (m.Speed * m.warmth(r))
	if m.pausedUntil > m.w.now {
		took += m.pausedUntil - m.w.now
	}
	m.w.After(took, func() {
		if m.process != r {
			return
		}
		r.busyMs += took
		r.working--
		m.finish(r, t)
		if len(r.queue) > 0 && r.working < m.Cores {
			next := r.queue[0]
			r.queue = r.queue[1:]
			m.runOnCore(r, next)
		}
	})
}

// countSharedWork counts off the work done since the last turn: each task in hand gets its part of the cores.
func (m *emulatedEndpoint) countSharedWork(r *endpointProcess) {
	span := m.w.now - max(r.countedAt, min(m.pausedUntil, m.w.now))
	r.countedAt = m.w.now
	n := len(r.shared)
	if n == 0 || span <= 0 {
		return
	}
	each := min(1, float64(m.Cores)/float64(n)) * m.Speed * m.warmth(r) * span
	for _, t := range r.shared {
		t.workMs -= each
	}
	r.busyMs += span * float64(min(n, m.Cores))
}

// scheduleSharedEnd wakes when the task with the least work left is done.
func (m *emulatedEndpoint) scheduleSharedEnd(r *endpointProcess) {
	n := len(r.shared)
	if n == 0 {
		return
	}
	least := math.Inf(1)
	for _, t := range r.shared {
		least = min(least, t.workMs)
	}
	speed := min(1, float64(m.Cores)/float64(n)) * m.Speed * m.warmth(r)
	r.wakeNumber++
	number := r.wakeNumber
	m.w.After(max(0, least/speed)+max(0, m.pausedUntil-m.w.now), func() {
		if m.process != r || r.wakeNumber != number {
			return
		}
		m.countSharedWork(r)
		kept := r.shared[:0]
		var done []*task
		for _, t := range r.shared {
			if t.workMs <= 1e-9 {
				done = append(done, t)
			} else {
				kept = append(kept, t)
			}
		}
		r.shared = kept
		for _, t := range done {
			m.finish(r, t)
		}
		m.scheduleSharedEnd(r)
	})
}

// finish books a task's effect and answers it.
func (m *emulatedEndpoint) finish(r *endpointProcess, t *task) {
	r.inHand--
	r.served++
	repeat := m.Dedup[t.request.Kind] && m.done[t.request.Name]
	if m.Dedup[t.request.Kind] {
		m.done[t.request.Name] = true
	}
	if m.Effects[t.request.Kind] && !repeat {
		m.w.logEvent(m.Name, eventlog.Event{What: eventlog.Effect, Peer: t.request.From, Kind: t.request.Kind, Req: t.request.Name})
	}
	t.answer(wire.Fine, 0, r.load)
}
