package emulator

import (
	"slices"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// playFault plays one trouble, as the rehearsal does on sockets.
func (w *World) playFault(t scenario.Fault) {
	lasts := milliseconds(t.For)
	switch t.What {
	case "hang", "fast_errors", "class_fail", "handshake_slow", "answers_twice", "pause":
		w.playBehaviour(t)
	case "vanish", "crash", "restart", "drain", "preempt", "replace", "flapping":
		for i, m := range w.faultEndpoints(t) {
			w.playLifecycle(t, m, i)
		}
	case "zone_cut":
		w.cutZone(t.Zone, true)
		w.After(lasts, func() { w.cutZone(t.Zone, false) })
	case "slow_link":
		z := w.network.zone(t.Zone)
		z.delay, z.loss = milliseconds(t.Extra), t.Loss
		w.After(lasts, func() { z.delay, z.loss = 0, 0 })
	case "zone_loss":
		w.zoneLoss(t)
	case "proxy_crash", "proxy_roll", "reconnect", "counter_down", "mute_proxy", "report_burst", "silent":
		w.playProxyFault(t)
	case "pilot_kill", "pilot_roll", "handover", "reload", "pilot_pause":
		w.playPilotFault(t)
	case "list_down":
		w.registry.stop()
		w.After(lasts, w.registry.resume)
	case "list_all":
		w.listAll()
	case "slice_move":
		w.moveSlices(w.faultEndpoints(t))
	} // the others are the clients' doing
}

func (w *World) faultEndpoints(t scenario.Fault) (struck []*emulatedEndpoint) {
	var names []string
	for _, m := range w.endpoints {
		if t.Zone == "" || m.Zone == t.Zone {
			names = append(names, m.Name)
		}
	}
	for _, n := range t.Targets(names, w.random) {
		struck = append(struck, w.endpointByName[n])
	}
	return struck
}

// playBehaviour plays what changes how endpoints answer.
func (w *World) playBehaviour(t scenario.Fault) {
	struck := w.faultEndpoints(t)
	for _, m := range struck {
		switch t.What {
		case "hang":
			m.fault = endpoint.FaultMode{Hang: true, OnlyFor: t.Kind}
		case "fast_errors", "class_fail":
			m.fault = endpoint.FaultMode{Errors: t.Size, OnlyFor: t.Kind}
		case "handshake_slow":
			m.fault = endpoint.FaultMode{Shakes: t.Size}
			w.dialDelayMs[m.Name] = milliseconds(t.Extra)
		case "pause":
			m.pausedUntil = w.now + milliseconds(t.For)
		}
	}
	w.After(milliseconds(t.For), func() {
		for _, m := range struck {
			m.fault = endpoint.FaultMode{}
			delete(w.dialDelayMs, m.Name)
		}
	})
}

func (w *World) setBlackhole(name string, dumb bool) {
	w.network.blackholed[name] = dumb
	w.logEvent("links", eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[dumb], Peer: name})
	if !dumb {
		w.network.releaseHeld()
	}
	w.endSilentStreams()
}

func (w *World) cutZone(zone string, cut bool) {
	w.network.zone(zone).cut = cut
	w.logEvent("links", eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[cut], Text: zone})
	if !cut {
		w.network.releaseHeld()
	}
	w.endSilentStreams()
}

// endSilentStreams ends streams over ways that stay cut until nobody has heard a beat for long enough.
func (w *World) endSilentStreams() {
	w.After(3*milliseconds(w.Scenario.Beat), func() {
		for _, p := range w.proxies {
			if p.process != nil && p.process.stream != nil && !w.network.open(p.place, p.process.stream.pilot.place) {
				p.process.stream.end(true)
			}
		}
	})
}

// playLifecycle plays what happens to one endpoint's process.
func (w *World) playLifecycle(t scenario.Fault, m *emulatedEndpoint, i int) {
	late, lasts := milliseconds(w.Scenario.ListLate), milliseconds(t.For)
	gone := func(x *wire.Entry) { x.Phase = wire.PhaseGone }
	drains := func(x *wire.Entry) { x.Phase = wire.PhaseDraining }
	switch t.What {
	case "vanish":
		w.setBlackhole(m.Name, true)
		w.updateEntry(m.Name, 4*late, gone)
		w.After(lasts, func() {
			m.kill()
			w.setBlackhole(m.Name, false)
			w.restartCold(m)
		})
	case "crash":
		m.kill()
		w.updateEntry(m.Name, late, gone)
		w.After(lasts, func() { w.restartCold(m) })
	case "restart":
		m.kill()
		w.restartCold(m)
	case "drain", "preempt":
		w.updateEntry(m.Name, late, drains)
		w.After(late+lasts, func() {
			m.kill()
			w.updateEntry(m.Name, late, gone)
			if t.What == "preempt" {
				w.After(milliseconds(t.Extra), func() { w.addSuccessor(m) })
			}
		})
	case "replace": // one after another: the new one first
		w.After(float64(i)*milliseconds(t.Every), func() {
			w.addSuccessor(m)
			w.After(milliseconds(t.Extra), func() {
				w.updateEntry(m.Name, late, drains)
				w.After(late+milliseconds(w.Scenario.DrainGrace)+500, func() {
					m.kill()
					w.updateEntry(m.Name, late, gone)
				})
			})
		})
	case "flapping":
		w.flap(m, w.now+lasts, milliseconds(t.Every)*(1+float64(i)/7))
	}
}

// restartCold starts an endpoint's process again and has the list say so.
func (w *World) restartCold(m *emulatedEndpoint) {
	if m.process != nil {
		return // two troubles at once
	}
	m.start(true)
	w.updateEntry(m.Name, milliseconds(w.Scenario.ListLate), func(x *wire.Entry) { x.Phase, x.Started = wire.PhaseReady, w.registry.clock() })
}

// addSuccessor starts a new machine beside one that goes.
func (w *World) addSuccessor(m *emulatedEndpoint) {
	name := m.Name + "-next"
	if w.endpointByName[name] != nil {
		return
	}
	group := slices.IndexFunc(w.Scenario.Groups, func(g scenario.Group) bool { return g.Zone == m.Zone && g.Machine == m.Machine })
	w.addEndpoint(name, group, true)
	w.updateEntry(name, milliseconds(w.Scenario.ListLate), func(*wire.Entry) {})
}

// flap lets an endpoint fail and recover by turns.
func (w *World) flap(m *emulatedEndpoint, until, turn float64) {
	if w.now >= until {
		return
	}
	w.After(0.6*turn, func() {
		m.kill()
		w.After(0.4*turn, func() {
			w.restartCold(m)
			w.flap(m, until, turn)
		})
	})
}

// zoneLoss takes a zone's endpoints, and with a size over a half its proxies and pilots.
func (w *World) zoneLoss(t scenario.Fault) {
	struck := w.faultEndpoints(t)
	for _, m := range struck {
		m.kill()
		w.updateEntry(m.Name, 4*milliseconds(w.Scenario.ListLate), func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	}
	var proxies []*emulatedProxy
	var seats []*emulatedPilot
	if t.Size > 0.5 {
		for _, p := range w.proxies {
			if p.place.zone == t.Zone {
				p.kill()
				proxies = append(proxies, p)
			}
		}
		for _, s := range w.pilots {
			if s.place.zone == t.Zone {
				s.stop(true)
				seats = append(seats, s)
			}
		}
	}
	w.After(milliseconds(t.For), func() {
		for _, m := range struck {
			w.restartCold(m)
		}
		for _, s := range seats {
			if s.process == nil {
				s.start()
			}
		}
		for _, p := range proxies {
			if p.process == nil {
				p.start()
			}
		}
	})
}

func (w *World) faultProxies(t scenario.Fault) (struck []*emulatedProxy) {
	var names []string
	by := map[string]*emulatedProxy{}
	for _, p := range w.proxies {
		if t.Zone == "" || p.place.zone == t.Zone {
			names, by[p.place.name] = append(names, p.place.name), p
		}
	}
	for _, n := range t.Targets(names, w.random) {
		struck = append(struck, by[n])
	}
	return struck
}

func (w *World) playProxyFault(t scenario.Fault) {
	struck := w.faultProxies(t)
	each := func(f func(p *emulatedProxy)) func() {
		return func() {
			for _, p := range struck {
				f(p)
			}
		}
	}
	var begin, end func(p *emulatedProxy)
	switch t.What {
	case "reconnect":
		begin, end = (*emulatedProxy).breakStream, func(*emulatedProxy) {}
	case "counter_down":
		begin, end = func(p *emulatedProxy) { p.unreachable = true; p.breakStream() }, func(p *emulatedProxy) { p.unreachable = false }
	case "mute_proxy":
		begin, end = func(p *emulatedProxy) { p.muted = true }, (*emulatedProxy).resumeReading
	case "silent":
		begin, end = func(p *emulatedProxy) { w.setBlackhole(p.place.name, true) }, func(p *emulatedProxy) { w.setBlackhole(p.place.name, false) }
	case "report_burst":
		begin, end = func(p *emulatedProxy) { p.reportFactor = t.Size }, func(p *emulatedProxy) { p.reportFactor = 1 }
	case "proxy_crash":
		begin, end = (*emulatedProxy).kill, func(p *emulatedProxy) {
			if p.process == nil {
				p.start()
			}
		}
	case "proxy_roll":
		for i, p := range struck {
			w.After(float64(i)*(milliseconds(t.Extra)+milliseconds(t.Every)), func() {
				p.kill()
				w.After(milliseconds(t.Extra), func() {
					if p.process == nil {
						p.start()
					}
				})
			})
		}
		return
	}
	each(begin)()
	w.After(milliseconds(t.For), each(end))
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

func (w *World) playPilotFault(t scenario.Fault) {
	var names []string
	by := map[string]*emulatedPilot{}
	for _, s := range w.pilots {
		names, by[s.place.name] = append(names, s.place.name), s
	}
	back := func(s *emulatedPilot) func() {
		return func() {
			if s.process == nil {
				s.start()
			}
		}
	}
	struck := t.Targets(names, w.random)
	for i, n := range struck {
		s := by[n]
		switch t.What {
		case "pilot_kill":
			s.stop(true)
			w.After(milliseconds(t.For), back(s))
		case "pilot_roll":
			w.After(float64(i)*(milliseconds(t.Extra)+milliseconds(t.Every)), func() {
				s.stop(false)
				w.After(milliseconds(t.Extra), back(s))
			})
		case "handover":
			w.handOver(s, w.now+milliseconds(t.For), max(milliseconds(t.Every), 1))
		case "pilot_pause":
			s.pausedUntil = w.now + milliseconds(t.For) // nobody hears of it meanwhile either
			w.setBlackhole(n, true)
			w.After(milliseconds(t.For), func() { w.setBlackhole(n, false) })
		case "reload":
			if s.process != nil {
				s.process.reload(t.Size)
			}
		}
	}
}

// handOver has one process after another take over: the old one ends in order and the new one begins.
func (w *World) handOver(s *emulatedPilot, until, every float64) {
	if w.now >= until {
		return
	}
	s.stop(false)
	w.After(1, func() {
		if s.process == nil {
			s.start()
		}
		w.After(every, func() { w.handOver(s, until, every) })
	})
}

// assignSlices has the store give each slice to one endpoint, in turn.
func (w *World) assignSlices() {
	for i := range w.Scenario.Slices {
		w.sliceOwners = append(w.sliceOwners, w.endpoints[i%len(w.endpoints)].Name)
		w.assignSlice(i)
	}
}

func (w *World) assignSlice(i int) {
	x := wire.Slices{Slice: i, Given: true, From: loadgen.Key(i * scenario.KeysPerSlice), To: loadgen.Key((i + 1) * scenario.KeysPerSlice),
		Lines: []wire.HeldLine{{Endpoint: w.sliceOwners[i], Weight: 1}}}
	w.logEvent("rehearsal", eventlog.Event{What: eventlog.Given, Peer: w.sliceOwners[i], N: i, Text: x.From})
	w.registry.assignSlice(x)
}

// moveSlices has the store give the slices of some endpoints to the others, in turn.
func (w *World) moveSlices(from []*emulatedEndpoint) {
	var stay []string
	for _, m := range w.endpoints {
		if !slices.Contains(from, m) {
			stay = append(stay, m.Name)
		}
	}
	for i, owner := range w.sliceOwners {
		if slices.Contains(from, w.endpointByName[owner]) && len(stay) > 0 {
			w.sliceOwners[i] = stay[i%len(stay)]
			w.assignSlice(i)
		}
	}
}
