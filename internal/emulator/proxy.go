package emulator

import (
	"math"
	"math/rand/v2"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// plain is a proxy: the follower of the stand-in on sockets, with its tries and its stream in virtual time.
type plain struct {
	w       *World
	place   place
	habits  routing.Policy
	rate    float64
	home    int // number among the pilots of its zone
	life    *plainLife
	boots   int
	seed    uint64
	unable  bool // reaches no pilot
	mute    bool // does not read
	reports float64
	heed    bool
}

// plainLife is one process.
type plainLife struct {
	p      *plain
	follow *routing.Router
	stream *stream
	lines  []int
	rnd    *rand.Rand
	wish   routing.ReportRequest
	period float64
	busy   float64 // until when it applies lines and stands still
	conns  map[string]*conn
}

// conn is what is under way to one endpoint over its connection.
type conn struct {
	run   *running // that took it
	tries map[*try]bool
}

// try is one try of a req.
type try struct {
	req   *reqUnder
	name  string
	start float64
	over  bool
}

// reqUnder is a req under way in a proxy.
type reqUnder struct {
	li     *plainLife
	req    *wire.Req
	kind   int
	until  float64
	tried  []string
	ran    bool
	answer func(*wire.Answer)
}

// dialTimeoutMs is how long a proxy waits for a connection to an endpoint.
const dialTimeoutMs = 250

func (p *plain) start() {
	p.boots++
	li := &plainLife{p: p, follow: routing.NewRouter(p.habits, p.w.standing(p.place.zone), p.seed+uint64(p.boots)),
		lines: make([]int, len(p.habits.Classes)), rnd: rand.New(rand.NewPCG(p.seed, uint64(p.boots))), conns: map[string]*conn{}}
	for k := range li.lines {
		li.lines[k] = -1
	}
	p.life = li
	p.w.note(p.place.name, eventlog.Event{What: eventlog.Start, N: p.boots, Text: p.place.zone})
	li.showLines()
	li.dial(0)
}

func (p *plain) kill() {
	li := p.life
	if li == nil {
		return
	}
	p.life = nil
	p.w.note(p.place.name, eventlog.Event{What: eventlog.Stop})
	if li.stream != nil {
		li.stream.broke(false)
	}
	for _, m := range p.w.machines {
		if m.run != nil {
			delete(m.run.conns, p.place.name)
		}
	}
}

// drop breaks its stream.
func (p *plain) drop() {
	if p.life != nil && p.life.stream != nil {
		p.life.stream.broke(true)
	}
}

// broken ends what is under way to an endpoint whose process died.
func (p *plain) broken(name string) {
	if p.life == nil || p.life.conns[name] == nil {
		return
	}
	li := p.life
	c := li.conns[name]
	delete(li.conns, name)
	for _, t := range p.w.inOrder(c.tries) {
		p.w.ways.carry(place{name: name}, p.place, func() { li.back(t, nil) })
	}
}

func (li *plainLife) showLines() {
	for k, name := range li.p.habits.Classes {
		if n := li.follow.EligibleCount(k); n != li.lines[k] {
			li.lines[k] = n
			li.p.w.note(li.p.place.name, eventlog.Event{What: eventlog.Lines, Kind: name, N: n})
		}
	}
}

// dial tries one pilot after another until one takes the stream.
func (li *plainLife) dial(n int) {
	p := li.p
	if p.life != li {
		return
	}
	pilots := p.w.reach(p)
	if len(pilots) > 0 {
		if s := pilots[n%len(pilots)]; s.runs() && p.w.ways.open(p.place, s.place) {
			p.w.After(2*p.w.ways.delay(p.place, s.place), func() {
				if p.life != li || li.stream != nil {
					return
				}
				if !s.runs() || !p.w.ways.open(p.place, s.place) {
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

func (li *plainLife) redial(n int) {
	li.p.w.After((0.5+li.rnd.Float64())*li.p.w.redial, func() { li.dial(n) })
}

func (li *plainLife) join(to *seat) {
	p := li.p
	hello := wire.Hello{Version: wire.Version, Proxy: p.place.name, Zone: p.place.zone, Boot: uint64(p.boots), Rate: p.rate,
		Fresh: li.follow.Fresh(), Holds: li.follow.Endpoints(), Tables: li.follow.HeldTables()}
	li.stream = &stream{w: p.w, li: li, to: to, run: to.run}
	to.streams[li.stream] = true
	li.follow.StreamJoined()
	li.wish = routing.ReportRequest{}
	p.w.note(p.place.name, eventlog.Event{What: eventlog.Join, Peer: to.place.name, Kind: p.place.zone})
	to.post(controller.ProxyJoined{Stream: li.stream, Hello: hello})
	li.period = p.w.period
	li.report(li.stream, li.period*li.rnd.Float64())
}

// report sends sums each period while a stream lasts.
func (li *plainLife) report(s *stream, in float64) {
	li.p.w.After(in, func() {
		if li.stream != s {
			return
		}
		sums := li.follow.Report(li.p.w.now, li.wish)
		s.up(func() { s.to.report(s, sums) })
		li.report(s, li.period/li.p.reports)
	})
}

// apply carries out a message; the proxy stands still for as long as its lines take.
func (li *plainLife) apply(s *stream, o *wire.Orders, traced func(what string, from float64)) {
	p := li.p
	if p.mute {
		s.unread = append(s.unread, func() { li.apply(s, o, traced) })
		return
	}
	came := p.w.now
	p.w.note(p.place.name, eventlog.Event{What: eventlog.Got, Peer: s.to.place.name, N: o.Lines, Value: o.AgeMs, Since: s.to.run.born + o.AtMs})
	li.busy = max(li.busy, p.w.now) + float64(len(o.Ops))*p.w.apply
	p.w.At(li.busy, func() {
		if p.life != li || li.stream != s {
			return
		}
		marks := li.follow.Apply(o.Ops)
		traced("apply", came)
		li.showLines()
		li.retire()
		for _, n := range marks {
			took := p.w.now - came
			s.up(func() { s.to.post(controller.Acked{Stream: s, Done: wire.Done{Mark: n, TookMs: took}}) })
		}
	})
}

// retire closes connections to endpoints that no table names any more; what is under way over them ends as it will.
func (li *plainLife) retire() {
	if len(li.conns) == 0 {
		return
	}
	held := map[string]bool{}
	for _, name := range li.follow.Endpoints() {
		held[name] = true
	}
	for name, c := range li.conns {
		if !held[name] && len(c.tries) == 0 {
			delete(li.conns, name)
			if c.run != nil {
				delete(c.run.conns, li.p.place.name)
			}
		}
	}
}

// handle takes a req through its tries; one that comes while lines are applied waits for them.
func (p *plain) handle(req *wire.Req, limit float64, answer func(*wire.Answer)) {
	li := p.life
	if li == nil {
		answer(nil)
		return
	}
	if li.busy > p.w.now {
		p.w.At(li.busy, func() { p.handle(req, limit-(li.busy-p.w.now), answer) })
		return
	}
	kind := p.w.kind[req.Kind]
	li.follow.RequestArrived(kind, req.Key)
	if !li.follow.Admit(kind) {
		p.w.note(p.place.name, eventlog.Event{What: eventlog.Refuse, Kind: req.Kind, Req: req.Name, Text: "level"})
		answer(&wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.RetryAfterMs})
		return
	}
	u := &reqUnder{li: li, req: req, kind: kind, answer: answer, until: p.w.now + min(limit, p.w.limits[kind])}
	u.next()
}

// next sends the next try.
func (u *reqUnder) next() {
	li, p := u.li, u.li.p
	name := li.follow.Pick(p.w.now, u.kind, u.req.Key, u.tried)
	if name == "" {
		p.w.note(p.place.name, eventlog.Event{What: eventlog.Refuse, Kind: u.req.Kind, Req: u.req.Name, Text: "no line"})
		u.end()
		return
	}
	li.follow.AttemptStarted(name)
	u.tried = append(u.tried, name)
	p.w.note(p.place.name, eventlog.Event{What: eventlog.Send, Peer: name, Kind: u.req.Kind, Req: u.req.Name, Text: u.req.Key, N: len(u.tried)})
	p.w.Tries++
	wait := routing.AttemptTimeout(li.follow.RetryMode(u.kind), len(u.tried), u.until-p.w.now, p.w.firstWait*p.w.targets[u.kind])
	t := &try{req: u, name: name, start: p.w.now}
	p.w.waits[u.kind].add(p.w.now+wait, t)
	li.send(t, wait)
}

// send brings a try to its endpoint over the proxy's connection.
func (li *plainLife) send(t *try, wait float64) {
	p := li.p
	m := p.w.byName[t.name]
	if m == nil {
		p.w.After(p.w.ways.near, func() { li.never(t) })
		return
	}
	c := li.conns[t.name]
	trip := 1.0
	if c == nil || c.run != m.run {
		trip = 3 // a connection is opened first
	}
	req := &wire.Req{Name: t.req.req.Name, Kind: t.req.req.Kind, From: p.place.name, WorkMs: t.req.req.WorkMs, LimitMs: wait}
	arrive := func() {
		ok, cost := m.connect(p.place.name)
		if !ok {
			p.w.ways.carry(m.place, p.place, func() { li.never(t) })
			return
		}
		c := li.conns[t.name]
		if c == nil || c.run != m.run {
			c = &conn{run: m.run, tries: map[*try]bool{}}
			li.conns[t.name] = c
		}
		c.tries[t] = true
		take := func() {
			m.take(&task{req: req, answer: func(o wire.Outcome, comeBack float64, load []wire.Figure) {
				p.w.ways.carry(m.place, p.place, func() {
					li.back(t, &wire.Answer{Outcome: o, ComeBackMs: comeBack, Load: load})
				})
			}})
		}
		if cost > 0 {
			p.w.After(cost+m.dialMs(), take)
			return
		}
		take()
	}
	if trip > 1 && !p.w.ways.open(p.place, m.place) {
		p.w.After(dialTimeoutMs, func() { li.never(t) })
		return
	}
	p.w.ways.carry(p.place, m.place, func() {
		if trip > 1 {
			p.w.After((trip-1)*p.w.ways.near, arrive)
			return
		}
		arrive()
	})
}

func (m *machine) dialMs() float64 { return m.w.slowDial[m.Name] }

// never is a try that never left.
func (li *plainLife) never(t *try) {
	if t.over {
		return
	}
	t.over = true
	li.follow.AttemptFinished(li.p.w.now, t.name, false, li.p.w.now-t.start, nil)
	t.req.after(wire.Denied)
}

func (t *try) isOver() bool { return t.over }

// expire is a try that got no answer in its time.
func (t *try) expire() { t.req.li.back(t, nil) }

// back takes in how a try ended.
func (li *plainLife) back(t *try, a *wire.Answer) {
	if t.over {
		return
	}
	t.over = true
	if c := li.conns[t.name]; c != nil {
		delete(c.tries, t)
	}
	outcome := wire.Errored
	var load []wire.Figure
	if a != nil {
		outcome, load = a.Outcome, a.Load
	}
	li.follow.AttemptFinished(li.p.w.now, t.name, outcome == wire.Fine, li.p.w.now-t.start, load)
	t.req.after(outcome)
}

// after decides, as proxies do, whether a try follows.
func (u *reqUnder) after(outcome wire.Outcome) {
	w := u.li.p.w
	if outcome == wire.Fine {
		u.answer(&wire.Answer{Outcome: wire.Fine})
		return
	}
	proof := outcome == wire.Denied
	u.ran = u.ran || !proof
	if !routing.RetryAllowed(u.li.follow.RetryMode(u.kind), len(u.tried), proof) || w.now >= u.until-1e-6 || u.li.p.life != u.li {
		u.end()
		return
	}
	u.next()
}

func (u *reqUnder) end() {
	if !u.ran {
		u.answer(&wire.Answer{Outcome: wire.Denied, ComeBackMs: routing.RetryAfterMs})
		return
	}
	u.li.follow.RequestUnanswered(u.kind, u.req.Key)
	u.answer(&wire.Answer{Outcome: wire.Errored})
}

// stream is a proxy's to a pilot. It implements pilot.Stream.
type stream struct {
	w      *World
	li     *plainLife
	to     *seat
	run    *pilotRun
	ended  bool
	unread []func() // messages that a proxy which does not read will apply
}

// Send brings orders down. A proxy that does not read has its stream cut once it has not read for the time it may.
func (s *stream) Send(o *wire.Orders) error {
	traced := func(string, float64) {}
	if t := s.w.Trace; t != nil && s.run != nil {
		d, left := t.message(s.run, s.li.p.place.name, min(s.run.born+o.AtMs, s.w.now), o.Lines), s.w.now
		traced = func(what string, from float64) { t.part(d, what, s.li.p.place.name, max(from, left), s.w.now, o.Lines) }
	}
	left := s.w.now
	s.w.ways.carry(s.to.place, s.li.p.place, func() {
		if !s.ended && s.li.p.life == s.li {
			traced("way", left)
			s.li.apply(s, o, traced)
		}
	})
	if s.li.p.mute {
		s.w.After(s.w.seenWithin, func() {
			if len(s.unread) > 0 {
				s.broke(true)
			}
		})
	}
	return nil
}

// Ask brings a wish for reports down.
func (s *stream) Ask(m *wire.Pace) error {
	s.w.ways.carry(s.to.place, s.li.p.place, func() {
		if !s.ended && s.li.p.heed {
			s.li.wish = routing.ReportRequest{MaxEndpoints: m.Lines, ChangesOnly: m.Changes}
			s.li.period = math.Max(1, float64(m.PeriodMs))
		}
	})
	return nil
}

// Close ends it from the pilot's side.
func (s *stream) Close(string) { s.w.After(0, func() { s.broke(true) }) }

// up brings something to the pilot.
func (s *stream) up(do func()) {
	s.w.ways.carry(s.li.p.place, s.to.place, func() {
		if !s.ended && s.to.run == s.run && s.run != nil {
			do()
		}
	})
}

// broke ends it on both sides; the pilot hears of it, and the proxy dials again.
func (s *stream) broke(redial bool) {
	if s.ended {
		return
	}
	s.ended = true
	delete(s.to.streams, s)
	if s.to.run == s.run && s.run != nil {
		s.to.post(controller.ProxyLeft{Stream: s})
	}
	if s.li.stream != s {
		return
	}
	s.li.stream = nil
	if s.li.p.life == s.li {
		s.w.note(s.li.p.place.name, eventlog.Event{What: eventlog.Leave, Peer: s.to.place.name})
		if redial {
			s.li.redial(0)
		}
	}
}
