package emulator

import (
	"maps"
	"slices"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// dialTimeoutMs is how long a proxy waits for a connection to an endpoint.
const dialTimeoutMs = 250

// proxyRequest is a req under way in a proxy.
type proxyRequest struct {
	process    *proxyProcess
	request    *wire.Req
	class      int
	deadline   float64
	tried      []string
	mayHaveRun bool
	answer     func(*wire.Answer)
}

// attempt is one try of a req.
type attempt struct {
	request   *proxyRequest
	endpoint  string
	startedAt float64
	ended     bool
}

// connection is what is under way to one endpoint over its connection.
type connection struct {
	process  *endpointProcess // that took it
	attempts map[*attempt]bool
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
	u := &proxyRequest{process: li, request: req, class: kind, answer: answer, deadline: p.w.now + min(limit, p.w.timeoutsMs[kind])}
	u.sendNext()
}

// sendNext sends the next try.
func (u *proxyRequest) sendNext() {
	li, p := u.process, u.process.proxy
	name := li.follower.Pick(p.w.now, u.class, u.request.Key, u.tried)
	if name == "" {
		p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Refuse, Kind: u.request.Kind, Req: u.request.Name, Text: "no line"})
		u.fail()
		return
	}
	li.follower.Sent(name)
	u.tried = append(u.tried, name)
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Send, Peer: name, Kind: u.request.Kind, Req: u.request.Name, Text: u.request.Key, N: len(u.tried)})
	p.w.Attempts++
	wait := routing.Patience(li.follower.Again(u.class), len(u.tried), u.deadline-p.w.now, p.w.firstWaitFactor*p.w.targetsMs[u.class])
	t := &attempt{request: u, endpoint: name, startedAt: p.w.now}
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
	req := &wire.Req{Name: t.request.request.Name, Kind: t.request.request.Kind, From: p.place.name, WorkMs: t.request.request.WorkMs, LimitMs: wait}
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

// notSent is a try that never left.
func (li *proxyProcess) notSent(t *attempt) {
	if t.ended {
		return
	}
	t.ended = true
	li.follower.Back(li.proxy.w.now, t.endpoint, false, li.proxy.w.now-t.startedAt, nil)
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
	li.follower.Back(li.proxy.w.now, t.endpoint, outcome == wire.Fine, li.proxy.w.now-t.startedAt, load)
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
	u.process.follower.Unanswered(u.class, u.request.Key)
	u.answer(&wire.Answer{Outcome: wire.Errored})
}

// sortedAttempts lists tries by req.
func (w *World) sortedAttempts(tries map[*attempt]bool) []*attempt {
	list := slices.Collect(maps.Keys(tries))
	slices.SortFunc(list, func(a, b *attempt) int {
		if a.request.request.Name != b.request.request.Name {
			return map[bool]int{true: -1, false: 1}[a.request.request.Name < b.request.request.Name]
		}
		return map[bool]int{true: -1, false: 1}[a.startedAt < b.startedAt]
	})
	return list
}
