package emulator

import (
	"math/rand/v2"
	"slices"

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
	starts       int
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

func (p *emulatedProxy) start() {
	p.starts++
	li := &proxyProcess{proxy: p, follower: routing.NewFollower(p.policy, p.w.drawStaticTable(p.place.zone), p.seed+uint64(p.starts)),
		loggedLines: make([]int, len(p.policy.Kinds)), random: rand.New(rand.NewPCG(p.seed, uint64(p.starts))), connections: map[string]*connection{}}
	for k := range li.loggedLines {
		li.loggedLines[k] = -1
	}
	p.process = li
	p.w.logEvent(p.place.name, eventlog.Event{What: eventlog.Start, N: p.starts, Text: p.place.zone})
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

// resumeReading lets a proxy read again: what has come meanwhile is applied in order.
func (p *emulatedProxy) resumeReading() {
	p.muted = false
	if p.process == nil || p.process.stream == nil {
		return
	}
	s := p.process.stream
	waits := s.unread
	s.unread = nil
	for _, apply := range waits {
		apply()
	}
}

// drawStaticTable draws a proxy's table at its start: from the list, in its zone if three are there.
func (w *World) drawStaticTable(zone string) []string {
	var near, all []string
	for _, m := range w.endpoints {
		if w.entries[m.Name].Phase == wire.PhaseReady {
			all = append(all, m.Name)
			if m.Zone == zone {
				near = append(near, m.Name)
			}
		}
	}
	if len(near) >= 3 {
		all = near
	}
	n := min(len(all), w.Scenario.Standing)
	for i := range n {
		j := i + w.random.IntN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}

// reachablePilots lists the pilots that a proxy may dial, its home first.
func (w *World) reachablePilots(p *emulatedProxy) []*emulatedPilot {
	if p.unreachable || len(w.pilots) == 0 {
		return nil
	}
	home := p.home % len(w.pilots)
	if w.Scenario.ByZone {
		if i := slices.IndexFunc(w.pilots, func(s *emulatedPilot) bool { return s.place.zone == p.place.zone }); i >= 0 {
			home = i
		}
	}
	return append(slices.Clone(w.pilots[home:]), w.pilots[:home]...)
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
		if s := pilots[n%len(pilots)]; s.running() && p.w.network.open(p.place, s.place) {
			p.w.After(2*p.w.network.delay(p.place, s.place), func() {
				if p.process != li || li.stream != nil {
					return
				}
				if !s.running() || !p.w.network.open(p.place, s.place) {
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
	hello := wire.Hello{Version: wire.Version, Proxy: p.place.name, Zone: p.place.zone, Boot: uint64(p.starts), Rate: p.rate,
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
