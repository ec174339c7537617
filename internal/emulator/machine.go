package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

// machine is an endpoint: the model that the stand-in on sockets is made of, with its work done in virtual time.
type machine struct {
	endpoint.Model
	w       *World
	place   place
	sharing bool // cores are shared by all that is in hand; else it waits for one
	mood    endpoint.FaultMode
	run     *running
	starts  int
	ledger  map[uint64]bool
	rnd     *rand.Rand
	pausing float64 // until when all cores stand still
	thrash  float64 // part by which it slows for each req in hand beyond its cores
}

// running is one process.
type running struct {
	since   float64
	cold    bool
	conns   map[string]bool
	queue   []*task
	working int
	shared  []*task // with sharing: all in hand
	turn    float64 // with sharing: when work was last counted off
	wake    uint64
	inHand  int
	busy    float64 // core-ms
	served  float64
	push    endpoint.WarmUpLoad
	fallen  bool
	load    []wire.Figure
	late    []wire.Figure
	busyWas float64
	servWas float64
}

// task is a req in hand.
type task struct {
	req    *wire.Req
	work   float64 // ms on a core of speed 1 that are left
	answer func(outcome wire.Outcome, comeBackMs float64, load []wire.Figure)
}

func (m *machine) start(cold bool) {
	m.starts++
	m.run = &running{since: m.w.now, cold: cold, conns: map[string]bool{}, turn: m.w.now}
	m.w.note(m.Name, eventlog.Event{What: eventlog.Start, N: m.starts, Value: float64(m.Cores) * m.Speed, Text: m.Zone,
		Kind: map[bool]string{true: "cold", false: "warm"}[cold]})
	m.reports(m.run)
}

func (m *machine) kill() {
	if m.run == nil {
		return
	}
	m.w.note(m.Name, eventlog.Event{What: eventlog.Stop, N: m.starts})
	m.run = nil
	for _, p := range m.w.proxies { // connections break: what was in hand comes back as lost
		p.broken(m.Name)
	}
}

func (m *machine) warmth(r *running) float64 {
	w := m.SpeedFraction(r.cold, time.Duration((m.w.now-r.since)*float64(time.Millisecond)))
	if over := r.inHand - m.Cores; m.thrash > 0 && over > 0 {
		w /= 1 + m.thrash*float64(over)
	}
	return w
}

// reports refreshes the load report now and then; what is shown is as old as the lag.
func (m *machine) reports(r *running) {
	every := float64(m.ReportEvery) / float64(time.Millisecond)
	m.w.After(every, func() {
		if m.run != r {
			return
		}
		noise := func() float64 { return math.Max(0, 1+m.ReportNoise*m.rnd.NormFloat64()) }
		if m.sharing {
			m.share(r)
		}
		util := math.Min(1, (r.busy-r.busyWas)/every/float64(m.Cores)) * noise()
		fresh := []wire.Figure{{Name: "util", Value: util}, {Name: "rate", Value: (r.served - r.servWas) / every * 1000 * noise()},
			{Name: "waiting", Value: float64(max(0, r.inHand-m.Cores))}, {Name: "in_hand", Value: float64(r.inHand)}}
		r.busyWas, r.servWas = r.busy, r.served
		if m.ReportLag > 0 {
			r.load, r.late = r.late, fresh
		} else {
			r.load = fresh
		}
		m.reports(r)
	})
}

// connect returns whether a proxy's connection is taken, and what it costs in ms.
func (m *machine) connect(from string) (ok bool, costMs float64) {
	r := m.run
	if r == nil {
		return false, 0
	}
	if r.conns[from] {
		return true, 0
	}
	if len(r.conns) >= m.MaxConnections {
		return false, 0
	}
	r.conns[from] = true
	cost := m.HandshakeMs + m.mood.ExtraHandshakeMs
	if cost > 0 {
		cost /= m.Speed * m.warmth(r)
		r.busy += cost
	}
	return true, cost
}

// take lets a req in, denies it, fails it or never answers.
func (m *machine) take(t *task) {
	r := m.run
	if r == nil {
		return
	}
	m.w.note(m.Name, eventlog.Event{What: eventlog.Arrive, Peer: t.req.From, Kind: t.req.Kind, Req: t.req.Name, Value: t.req.WorkMs})
	struck := m.mood.OnlyClass == "" || m.mood.OnlyClass == t.req.Kind
	fails := struck && m.mood.ErrorFraction > 0 && m.rnd.Float64() < m.mood.ErrorFraction
	if m.pushed(r, t.req.WorkMs) || m.mood.Hang && struck {
		return
	}
	switch {
	case fails:
		t.answer(wire.Errored, 0, r.load)
		return
	case r.inHand >= m.Cores+m.QueueLimit:
		t.answer(wire.Denied, m.RetryAfterMs, r.load)
		return
	}
	r.inHand++
	t.work = t.req.WorkMs
	if m.sharing {
		m.share(r)
		r.shared = append(r.shared, t)
		m.shareNext(r)
		return
	}
	if r.working < m.Cores {
		m.work(r, t)
		return
	}
	r.queue = append(r.queue, t)
}

func (m *machine) pushed(r *running, work float64) bool {
	if r.fallen || !r.cold {
		return r.fallen
	}
	over, part := r.push.Add(&m.Model, time.Duration((m.w.now-r.since)*float64(time.Millisecond)), work)
	if r.fallen = over; over {
		m.w.note(m.Name, eventlog.Event{What: eventlog.Fell, N: m.starts, Value: part})
	}
	return over
}

// work has a core do a task, then the next that waits.
func (m *machine) work(r *running, t *task) {
	r.working++
	took := t.work / (m.Speed * m.warmth(r))
	if m.pausing > m.w.now {
		took += m.pausing - m.w.now
	}
	m.w.After(took, func() {
		if m.run != r {
			return
		}
		r.busy += took
		r.working--
		m.finish(r, t)
		if len(r.queue) > 0 && r.working < m.Cores {
			next := r.queue[0]
			r.queue = r.queue[1:]
			m.work(r, next)
		}
	})
}

// share counts off the work done since the last turn: each task in hand gets its part of the cores.
func (m *machine) share(r *running) {
	span := m.w.now - max(r.turn, min(m.pausing, m.w.now))
	r.turn = m.w.now
	n := len(r.shared)
	if n == 0 || span <= 0 {
		return
	}
	each := min(1, float64(m.Cores)/float64(n)) * m.Speed * m.warmth(r) * span
	for _, t := range r.shared {
		t.work -= each
	}
	r.busy += span * float64(min(n, m.Cores))
}

// shareNext wakes when the task with the least work left is done.
func (m *machine) shareNext(r *running) {
	n := len(r.shared)
	if n == 0 {
		return
	}
	least := math.Inf(1)
	for _, t := range r.shared {
		least = min(least, t.work)
	}
	speed := min(1, float64(m.Cores)/float64(n)) * m.Speed * m.warmth(r)
	r.wake++
	number := r.wake
	m.w.After(max(0, least/speed)+max(0, m.pausing-m.w.now), func() {
		if m.run != r || r.wake != number {
			return
		}
		m.share(r)
		kept := r.shared[:0]
		var done []*task
		for _, t := range r.shared {
			if t.work <= 1e-9 {
				done = append(done, t)
			} else {
				kept = append(kept, t)
			}
		}
		r.shared = kept
		for _, t := range done {
			m.finish(r, t)
		}
		m.shareNext(r)
	})
}

// finish books a task's effect and answers it.
func (m *machine) finish(r *running, t *task) {
	r.inHand--
	r.served++
	repeat := m.Deduplicated[t.req.Kind] && m.ledger[t.req.Name]
	if m.Deduplicated[t.req.Kind] {
		m.ledger[t.req.Name] = true
	}
	if m.Effects[t.req.Kind] && !repeat {
		m.w.note(m.Name, eventlog.Event{What: eventlog.Effect, Peer: t.req.From, Kind: t.req.Kind, Req: t.req.Name})
	}
	t.answer(wire.Fine, 0, r.load)
}
