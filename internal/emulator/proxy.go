package emulator

import (
	"math"
	"math/rand/v2"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// emulatedProxy is a proxy: the follower of the stand-in on sockets, with its tries and its stream in virtual time.
type emulatedProxy struct {
	w            *World
	place        place
	policy       routing.Policy
	rate         float64
	home         int // number among the pilots of its zone
	process      *proxyProcess
	boots        int
	seed         uint64
	unreachable  bool // reaches no pilot
	muted        bool // does not read
	reportFactor float64
	heedsPace    bool
}

// proxyProcess is one process.
type proxyProcess struct {
	proxy          *emulatedProxy
	follower       *routing.Follower
	stream         *stream
	loggedLines    []int
	random         *rand.Rand
	reportRequest  routing.ReportRequest
	reportPeriodMs float64
	busyUntil      float64 // until when it applies lines and stands still
	connections    map[string]*connection
}

// connection is what is under way to one endpoint over its connection.
type connection struct {
	process  *endpointProcess // that took it
	attempts map[*attempt]bool
}

// attempt is one try of a req.
type attempt struct {
	request  *proxyRequest
	endpoint string
	start    float64
	ended    bool
}

// proxyRequest is a req under way in a proxy.
type proxyRequest struct {
	process    *proxyProcess
	req        *wire.Req
	class      int
	deadline   float64
	tried      []string
	mayHaveRun bool
	answer     func(*wire.Answer)
}

// dialTimeoutMs is how long a proxy waits for a connection to an endpoint.
const dialTimeoutMs = 250

func (p *emulatedProxy) start() {
	p.boots++
	li := &proxyProcess{proxy: p, follower: routing.NewFollower(p.policy, p.w.drawStaticTable(p.place.zone), p.seed+uint64(p.boots)),
		loggedLines: make([]int, len(p.policy.Kinds)), random: rand.New(rand.NewPCG(p.seed, uint64(p.boots))), connections: map[string]*connection{}}
	for k := range li.loggedLines {
		li.loggedLines[k] = -1
	}
	p.process = li
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Start, N: p.boots, Text: p.place.zone})
	li.logLines()
	li.dial(0)
}

func (p *emulatedProxy) kill() {
	li := p.process
	if li == nil {
		return
	}
	p.process = nil
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Stop})
	if li.stream != nil {
		li.stream.end(false)
	}
	for _, m := range p.w.endpoints {
		if m.process != nil {
			delete(m.process.connections, p.place.name)
		}
	}
}

// breakStream breaks its stream.
func (p *emulatedProxy) breakStream() {
	if p.process != nil && p.process.stream != nil {
		p.process.stream.end(true)
	}
}

// endpointDied ends what is under way to an endpoint whose process died.
func (p *emulatedProxy) endpointDied(name string) {
	if p.process == nil || p.process.connections[name] == nil {
		return
	}
	li := p.process
	c := li.connections[name]
	delete(li.connections, name)
	for _, t := range p.w.sortedAttempts(c.attempts) {
		p.w.network.carry(place{name: name}, p.place, func() { li.attemptEnded(t, nil) })
	}
}

func (li *proxyProcess) logLines() {
	for k, name := range li.proxy.policy.Kinds {
		if n := li.follower.Lines(k); n != li.loggedLines[k] {
			li.loggedLines[k] = n
			li.proxy.w.logEvent(li.proxy.place.name, eventlog.Event{What: eventlog.Lines, Kind: name, N: n})
		}
	}
}

// dial tries one pilot after another until one takes the stream.
func (li *proxyProcess) dial(n int) {
	p := li.proxy
	if p.process != li {
		return
	}
	pilots := p.w.reachablePilots(p)
	if len(pilots) > 0 {
		if s := pilots[n%len(pilots)]; s.runs() && p.w.network.open(p.place, s.place) {
			p.w.After(2*p.w.network.delay(p.place, s.place), func() {
				if p.process != li || li.stream != nil {
					return
				}
				if !s.runs() || !p.w.network.open(p.place, s.place) {
					li.redial(n + 1)
					return
				}
				li.join(s)
			})
			return
		}
	}
	li.redial(n + 1)
}

func (li *proxyProcess) redial(n int) {
	li.proxy.w.After((0.5+li.random.Float64())*li.proxy.w.redialMs, func() { li.dial(n) })
}

func (li *proxyProcess) join(to *emulatedPilot) {
	p := li.proxy
	hello := wire.Hello{Version: wire.Version, Proxy: p.place.name, Zone: p.place.zone, Boot: uint64(p.boots), Rate: p.rate,
		Fresh: li.follower.Fresh(), Holds: li.follower.Holds(), Tables: li.follower.Tables()}
	li.stream = &stream{w: p.w, process: li, pilot: to, pilotProcess: to.process}
	to.streams[li.stream] = true
	li.follower.Joined()
	li.reportRequest = routing.ReportRequest{}
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Join, Peer: to.place.name, Kind: p.place.zone})
	to.post(controller.ProxyJoined{Stream: li.stream, Hello: hello})
	li.reportPeriodMs = p.w.reportPeriodMs
	li.scheduleReport(li.stream, li.reportPeriodMs*li.random.Float64())
}

// scheduleReport sends sums each period while a stream lasts.
func (li *proxyProcess) scheduleReport(s *stream, in float64) {
	li.proxy.w.After(in, func() {
		if li.stream != s {
			return
		}
		sums := li.follower.Sums(li.proxy.w.now, li.reportRequest)
		s.sendUp(func() { s.pilot.report(s, sums) })
		li.scheduleReport(s, li.reportPeriodMs/li.proxy.reportFactor)
	})
}

// apply carries out a message; the proxy stands still for as long as its lines take.
func (li *proxyProcess) apply(s *stream, o *wire.Orders, traced func(what string, from float64)) {
	p := li.proxy
	if p.muted {
		s.unread = append(s.unread, func() { li.apply(s, o, traced) })
		return
	}
	came := p.w.now
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Got, Peer: s.pilot.place.name, N: o.Lines, Value: o.AgeMs, Since: s.pilot.process.startedAt + o.AtMs})
	li.busyUntil = max(li.busyUntil, p.w.now) + float64(len(o.Ops))*p.w.applyMs
	p.w.At(li.busyUntil, func() {
		if p.process != li || li.stream != s {
			return
		}
		marks := li.follower.Apply(o.Ops)
		traced("apply", came)
		li.logLines()
		li.closeUnused()
		for _, n := range marks {
			took := p.w.now - came
			s.sendUp(func() { s.pilot.post(controller.Acked{Stream: s, Done: wire.Done{Mark: n, TookMs: took}}) })
		}
	})
}

// closeUnused closes connections to endpoints that no table names any more; what is under way over them ends as it will.
func (li *proxyProcess) closeUnused() {
	if len(li.connections) == 0 {
		return
	}
	held := map[string]bool{}
	for _, name := range li.follower.Holds() {
		held[name] = true
	}
	for name, c := range li.connections {
		if !held[name] && len(c.attempts) == 0 {
			delete(li.connections, name)
			if c.process != nil {
				delete(c.process.connections, li.proxy.place.name)
			}
		}
	}
}

// handle takes a req through its tries; one that comes while lines are applied waits for them.
func (p *emulatedProxy) handle(req *wire.Req, limit float64, answer func(*wire.Answer)) {
	li := p.process
	if li == nil {
		answer(nil)
		return
	}
	if li.busyUntil > p.w.now {
		p.w.At(li.busyUntil, func() { p.handle(req, limit-(li.busyUntil-p.w.now), answer) })
		return
	}
	kind := p.w.classIndex[req.Kind]
	li.follower.Came(kind, req.Key)
	if !li.follower.Admit(kind) {
		p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Refuse, Kind: req.Kind, Req: req.Name, Text: "level"})
		answer(&wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.ComeBackMs})
		return
	}
	u := &proxyRequest{process: li, req: req, class: kind, answer: answer, deadline: p.w.now + min(limit, p.w.timeoutsMs[kind])}
	u.sendNext()
}

// sendNext sends the next try.
func (u *proxyRequest) sendNext() {
	li, p := u.process, u.process.proxy
	name := li.follower.Pick(p.w.now, u.class, u.req.Key, u.tried)
	if name == "" {
		p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Refuse, Kind: u.req.Kind, Req: u.req.Name, Text: "no line"})
		u.fail()
		return
	}
	li.follower.Sent(name)
	u.tried = append(u.tried, name)
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Send, Peer: name, Kind: u.req.Kind, Req: u.req.Name, Text: u.req.Key, N: len(u.tried)})
	p.w.Attempts++
	wait := routing.Patience(li.follower.Again(u.class), len(u.tried), u.deadline-p.w.now, p.w.firstWaitFactor*p.w.targetsMs[u.class])
	t := &attempt{request: u, endpoint: name, start: p.w.now}
	p.w.attemptDeadlines[u.class].add(p.w.now+wait, t)
	li.send(t, wait)
}

// send brings a try to its endpoint over the proxy's connection.
func (li *proxyProcess) send(t *attempt, wait float64) {
	p := li.proxy
	m := p.w.endpointByName[t.endpoint]
	if m == nil {
		p.w.After(p.w.network.oneWayMs, func() { li.notSent(t) })
		return
	}
	c := li.connections[t.endpoint]
	trip := 1.0
	if c == nil || c.process != m.process {
		trip = 3 // a connection is opened first
	}
	req := &wire.Req{Name: t.request.req.Name, Kind: t.request.req.Kind, From: p.place.name, WorkMs: t.request.req.WorkMs, LimitMs: wait}
	arrive := func() {
		ok, cost := m.connect(p.place.name)
		if !ok {
			p.w.network.carry(m.place, p.place, func() { li.notSent(t) })
			return
		}
		c := li.connections[t.endpoint]
		if c == nil || c.process != m.process {
			c = &connection{process: m.process, attempts: map[*attempt]bool{}}
			li.connections[t.endpoint] = c
		}
		c.attempts[t] = true
		take := func() {
			m.accept(&task{request: req, answer: func(o wire.Outcome, comeBack float64, load []wire.Figure) {
				p.w.network.carry(m.place, p.place, func() {
					li.attemptEnded(t, &wire.Answer{Outcome: o, ComeBackMs: comeBack, Load: load})
				})
			}})
		}
		if cost > 0 {
			p.w.After(cost+m.dialMs(), take)
			return
		}
		take()
	}
	if trip > 1 && !p.w.network.open(p.place, m.place) {
		p.w.After(dialTimeoutMs, func() { li.notSent(t) })
		return
	}
	p.w.network.carry(p.place, m.place, func() {
		if trip > 1 {
			p.w.After((trip-1)*p.w.network.oneWayMs, arrive)
			return
		}
		arrive()
	})
}

func (m *emulatedEndpoint) dialMs() float64 { return m.w.dialDelayMs[m.Name] }

// notSent is a try that never left.
func (li *proxyProcess) notSent(t *attempt) {
	if t.ended {
		return
	}
	t.ended = true
	li.follower.Back(li.proxy.w.now, t.endpoint, false, li.proxy.w.now-t.start, nil)
	t.request.retryOrEnd(wire.Denied)
}

func (t *attempt) isOver() bool { return t.ended }

// expire is a try that got no answer in its time.
func (t *attempt) expire() { t.request.process.attemptEnded(t, nil) }

// attemptEnded takes in how a try ended.
func (li *proxyProcess) attemptEnded(t *attempt, a *wire.Answer) {
	if t.ended {
		return
	}
	t.ended = true
	if c := li.connections[t.endpoint]; c != nil {
		delete(c.attempts, t)
	}
	outcome := wire.Errored
	var load []wire.Figure
	if a != nil {
		outcome, load = a.Outcome, a.Load
	}
	li.follower.Back(li.proxy.w.now, t.endpoint, outcome == wire.Fine, li.proxy.w.now-t.start, load)
	t.request.retryOrEnd(outcome)
}

// retryOrEnd decides, as proxies do, whether a try follows.
func (u *proxyRequest) retryOrEnd(outcome wire.Outcome) {
	w := u.process.proxy.w
	if outcome == wire.Fine {
		u.answer(&wire.Answer{Outcome: wire.Fine})
		return
	}
	proof := outcome == wire.Denied
	u.mayHaveRun = u.mayHaveRun || !proof
	if !routing.TryFollows(u.process.follower.Again(u.class), len(u.tried), proof) || w.now >= u.deadline-1e-6 || u.process.proxy.process != u.process {
		u.fail()
		return
	}
	u.sendNext()
}

func (u *proxyRequest) fail() {
	if !u.mayHaveRun {
		u.answer(&wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.ComeBackMs})
		return
	}
	u.process.follower.Unanswered(u.class, u.req.Key)
	u.answer(&wire.Answer{Outcome: wire.Errored})
}

// stream is a proxy's to a pilot. It implements pilot.Stream.
type stream struct {
	w            *World
	process      *proxyProcess
	pilot        *emulatedPilot
	pilotProcess *pilotProcess
	ended        bool
	unread       []func() // messages that a proxy which does not read will apply
}

// Send brings orders down. A proxy that does not read has its stream cut once it has not read for the time it may.
func (s *stream) Send(o *wire.Orders) error {
	traced := func(string, float64) {}
	if t := s.w.Trace; t != nil && s.pilotProcess != nil {
		d, left := t.message(s.pilotProcess, s.process.proxy.place.name, min(s.pilotProcess.startedAt+o.AtMs, s.w.now), o.Lines), s.w.now
		traced = func(what string, from float64) {
			t.part(d, what, s.process.proxy.place.name, max(from, left), s.w.now, o.Lines)
		}
	}
	left := s.w.now
	s.w.network.carry(s.pilot.place, s.process.proxy.place, func() {
		if !s.ended && s.process.proxy.process == s.process {
			traced("way", left)
			s.process.apply(s, o, traced)
		}
	})
	if s.process.proxy.muted {
		s.w.After(s.w.muteLimitMs, func() {
			if len(s.unread) > 0 {
				s.end(true)
			}
		})
	}
	return nil
}

// Ask brings a wish for reports down.
func (s *stream) Ask(m *wire.Pace) error {
	s.w.network.carry(s.pilot.place, s.process.proxy.place, func() {
		if !s.ended && s.process.proxy.heedsPace {
			s.process.reportRequest = routing.ReportRequest{Lines: m.Lines, Changes: m.Changes}
			s.process.reportPeriodMs = math.Max(1, float64(m.PeriodMs))
		}
	})
	return nil
}

// Close ends it from the pilot's side.
func (s *stream) Close(string) { s.w.After(0, func() { s.end(true) }) }

// sendUp brings something to the pilot.
func (s *stream) sendUp(do func()) {
	s.w.network.carry(s.process.proxy.place, s.pilot.place, func() {
		if !s.ended && s.pilot.process == s.pilotProcess && s.pilotProcess != nil {
			do()
		}
	})
}

// end ends it on both sides; the pilot hears of it, and the proxy dials again.
func (s *stream) end(redial bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(s.pilot.streams, s)
	if s.pilot.process == s.pilotProcess && s.pilotProcess != nil {
		s.pilot.post(controller.ProxyLeft{Stream: s})
	}
	if s.process.stream != s {
		return
	}
	s.process.stream = nil
	if s.process.proxy.process == s.process {
		s.w.logEvent(s.process.proxy.place.name, eventlog.Event{What: eventlog.Leave, Peer: s.pilot.place.name})
		if redial {
			s.process.redial(0)
		}
	}
}
