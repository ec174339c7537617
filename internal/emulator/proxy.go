package emulator

import (
	"math/rand/v2"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
)

// emulatedProxy is a proxy. It uses the routing code of the testbed's proxy; its attempts and its stream are
// emulated in virtual time.
type emulatedProxy struct {
	w         *World
	location  location
	policy    routing.Policy
	rate      float64       // usual requests per second, as stated in its hello
	homePilot int           // index of the pilot that it dials first, modulo the number of pilots
	seed      uint64        // of its random numbers
	process   *proxyProcess // nil while the proxy is not running
	starts    int           // number of processes started so far

	// State of injected faults.
	unreachable          bool    // it cannot connect to any pilot
	muted                bool    // it does not read from its stream
	reportFactor         float64 // multiplier of the report frequency; 1: no fault
	honorsReportRequests bool    // it follows the pilot's requests about report period and size
}

// proxyProcess is the state of a proxy between a start and the next stop.
type proxyProcess struct {
	proxy          *emulatedProxy
	follower       *routing.Router
	random         *rand.Rand
	stream         *stream                // stream to a pilot; nil while not connected
	reportRequest  routing.ReportRequest  // last request of the pilot about the content of reports
	reportPeriodMs float64                // between two reports
	busyUntil      float64                // ms; the proxy applies messages and forwards nothing before this time
	loggedLines    []int                  // eligible endpoints last logged, by request class; -1: none logged
	connections    map[string]*connection // by endpoint
}

// minSameZoneEndpoints is the number of ready endpoints in a proxy's zone from which on its static table contains
// only endpoints of that zone.
const minSameZoneEndpoints = 3

// start starts a process. It uses a static table until it gets commands from a pilot.
func (p *emulatedProxy) start() {
	p.starts++
	process := &proxyProcess{
		proxy:       p,
		follower:    routing.NewRouter(p.policy, p.w.drawStaticTable(p.location.zone), p.seed+uint64(p.starts)),
		random:      rand.New(rand.NewPCG(p.seed, uint64(p.starts))),
		loggedLines: make([]int, len(p.policy.Classes)),
		connections: map[string]*connection{},
	}
	for class := range process.loggedLines {
		process.loggedLines[class] = -1
	}
	p.process = process
	p.logEvent(eventlog.Event{What: eventlog.Start, N: p.starts, Text: p.location.zone})
	process.logLines()
	process.dial(0)
}

// startUnlessRunning starts a process after a fault. It does nothing if the end of an overlapping fault has already
// started one.
func (p *emulatedProxy) startUnlessRunning() {
	if p.process == nil {
		p.start()
	}
}

// kill ends the process. Its stream and its connections break.
func (p *emulatedProxy) kill() {
	process := p.process
	if process == nil {
		return
	}
	p.process = nil
	p.logEvent(eventlog.Event{What: eventlog.Stop})
	if process.stream != nil {
		process.stream.end(false)
	}
	for _, endpoint := range p.w.endpoints {
		if endpoint.process != nil {
			delete(endpoint.process.connections, p.location.name)
		}
	}
}

// logEvent logs an event of this proxy.
func (p *emulatedProxy) logEvent(e eventlog.Event) { p.w.logEvent(p.location.name, e) }

// stream returns the proxy's stream to a pilot, or nil if it has none.
func (p *emulatedProxy) stream() *stream {
	if p.process == nil {
		return nil
	}
	return p.process.stream
}

// breakStream ends the stream to the pilot as if the connection was lost.
func (p *emulatedProxy) breakStream() {
	if s := p.stream(); s != nil {
		s.end(true)
	}
}

// resumeReading ends a mute fault and applies, in order, the messages that have arrived in the meantime.
func (p *emulatedProxy) resumeReading() {
	p.muted = false
	s := p.stream()
	if s == nil {
		return
	}
	messages := s.unread
	s.unread = nil
	for _, apply := range messages {
		apply()
	}
}

// drawStaticTable selects the endpoints of a proxy's static table at random from those that are ready. It selects
// only from the proxy's zone if that has at least minSameZoneEndpoints.
func (w *World) drawStaticTable(zone string) []string {
	var all, sameZone []string
	for _, endpoint := range w.endpoints {
		if w.entries[endpoint.Name].Phase != wire.PhaseReady {
			continue
		}
		all = append(all, endpoint.Name)
		if endpoint.Zone == zone {
			sameZone = append(sameZone, endpoint.Name)
		}
	}
	candidates := all
	if len(sameZone) >= minSameZoneEndpoints {
		candidates = sameZone
	}
	count := min(len(candidates), w.Scenario.BootstrapEndpoints)
	for i := range count { // the first steps of a Fisher-Yates shuffle
		j := i + w.random.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:count]
}

// reachablePilots returns the pilots that a proxy may dial, in dialing order. The first is the home pilot or, with
// ByZone, a pilot of the proxy's zone.
func (w *World) reachablePilots(p *emulatedProxy) []*emulatedPilot {
	if p.unreachable || len(w.pilots) == 0 {
		return nil
	}
	home := p.homePilot % len(w.pilots)
	if w.Scenario.ByZone {
		inZone := slices.IndexFunc(w.pilots, func(pilot *emulatedPilot) bool {
			return pilot.location.zone == p.location.zone
		})
		if inZone >= 0 {
			home = inZone
		}
	}
	return append(slices.Clone(w.pilots[home:]), w.pilots[:home]...)
}

// logLines logs the number of eligible endpoints of each request class for which it has changed.
func (pp *proxyProcess) logLines() {
	for class, name := range pp.proxy.policy.Classes {
		lines := pp.follower.EligibleCount(class)
		if lines == pp.loggedLines[class] {
			continue
		}
		pp.loggedLines[class] = lines
		pp.proxy.logEvent(eventlog.Event{What: eventlog.Lines, Kind: name, N: lines})
	}
}

// dial tries to join a pilot. attempt is the number of failed attempts so far; each attempt uses the next pilot in
// dialing order.
func (pp *proxyProcess) dial(attempt int) {
	p := pp.proxy
	if p.process != pp {
		return
	}
	pilots := p.w.reachablePilots(p)
	if len(pilots) == 0 {
		pp.redial(attempt + 1)
		return
	}
	pilot := pilots[attempt%len(pilots)]
	if !pp.canReach(pilot) {
		pp.redial(attempt + 1)
		return
	}
	roundTripMs := 2 * p.w.network.delay(p.location, pilot.location)
	p.w.After(roundTripMs, func() {
		if p.process != pp || pp.stream != nil {
			return
		}
		if !pp.canReach(pilot) {
			pp.redial(attempt + 1)
			return
		}
		pp.join(pilot)
	})
}

// canReach reports whether a pilot is running and not cut off from the proxy.
func (pp *proxyProcess) canReach(pilot *emulatedPilot) bool {
	return pilot.running() && pp.proxy.w.network.reachable(pp.proxy.location, pilot.location)
}

// redial dials after a random delay of 0.5 to 1.5 times the scenario's redial delay, so that proxies do not
// reconnect all at once.
func (pp *proxyProcess) redial(attempt int) {
	jitter := 0.5 + pp.random.Float64()
	pp.proxy.w.After(jitter*pp.proxy.w.redialMs, func() { pp.dial(attempt) })
}

// join opens the stream to a pilot and begins to report.
func (pp *proxyProcess) join(pilot *emulatedPilot) {
	p := pp.proxy
	hello := wire.Hello{
		Version: wire.Version,
		Proxy:   p.location.name,
		Zone:    p.location.zone,
		Boot:    uint64(p.starts),
		Rate:    p.rate,
		Fresh:   pp.follower.Fresh(),
		Holds:   pp.follower.Endpoints(),
		Tables:  pp.follower.HeldTables(),
	}
	pp.stream = &stream{w: p.w, process: pp, pilot: pilot, pilotProcess: pilot.process}
	pilot.streams[pp.stream] = true
	pp.follower.StreamJoined()
	pp.reportRequest = routing.ReportRequest{}
	p.logEvent(eventlog.Event{What: eventlog.Join, Peer: pilot.location.name, Kind: p.location.zone})
	pilot.post(controller.ProxyJoined{Stream: pp.stream, Hello: hello})
	pp.reportPeriodMs = p.w.reportPeriodMs
	firstMs := pp.reportPeriodMs * pp.random.Float64() // random, so that proxies do not report all at once
	pp.scheduleReport(pp.stream, firstMs)
}

// scheduleReport sends a load report after a delay in ms and then one in each report period, until the stream ends.
func (pp *proxyProcess) scheduleReport(s *stream, delayMs float64) {
	pp.proxy.w.After(delayMs, func() {
		if pp.stream != s {
			return
		}
		sums := pp.follower.Report(pp.proxy.w.now, pp.reportRequest)
		s.sendUp(func() { s.pilot.report(s, sums) })
		pp.scheduleReport(s, pp.reportPeriodMs/pp.proxy.reportFactor)
	})
}

// apply applies a message of the pilot. The proxy forwards no requests while it applies the lines of the message. A
// muted proxy queues the message instead. traced records the application in the trace; it may be nil.
func (pp *proxyProcess) apply(s *stream, message *wire.Commands, traced spanEnd) {
	p := pp.proxy
	if p.muted {
		s.unread = append(s.unread, func() { pp.apply(s, message, traced) })
		return
	}
	receivedAt := p.w.now
	p.logEvent(eventlog.Event{
		What:  eventlog.Got,
		Peer:  s.pilot.location.name,
		N:     message.CostLines,
		Value: message.AgeMs,
		Since: s.pilot.process.startedAt + message.AtMs,
	})
	pp.busyUntil = max(pp.busyUntil, p.w.now) + float64(len(message.Ops))*p.w.applyMs
	p.w.At(pp.busyUntil, func() {
		if p.process != pp || pp.stream != s {
			return
		}
		ackRequests := pp.follower.Apply(message.Ops)
		traced.end(spanApply, receivedAt)
		pp.logLines()
		pp.closeUnused()
		for _, mark := range ackRequests {
			pp.acknowledge(s, mark, p.w.now-receivedAt)
		}
	})
}

// acknowledge sends an acknowledgement to the pilot that everything sent before the ack request with the given mark
// has been applied. tookMs is the time since the message arrived.
func (pp *proxyProcess) acknowledge(s *stream, mark int, tookMs float64) {
	s.sendUp(func() {
		s.pilot.post(controller.Acked{Stream: s, Done: wire.Done{Mark: mark, TookMs: tookMs}})
	})
}

// closeUnused closes the connections to endpoints that are in no table any more. Connections with attempts in flight
// stay open.
func (pp *proxyProcess) closeUnused() {
	if len(pp.connections) == 0 {
		return
	}
	held := map[string]bool{}
	for _, name := range pp.follower.Endpoints() {
		held[name] = true
	}
	for name, c := range pp.connections {
		if held[name] || len(c.attempts) > 0 {
			continue
		}
		delete(pp.connections, name)
		if c.process != nil {
			delete(c.process.connections, pp.proxy.location.name)
		}
	}
}
