package emulator

import (
	"slices"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/loadgen"
	"indigousher/internal/wire"
)

// strike plays one trouble, as the rehearsal does on sockets.
func (w *World) strike(t scenario.Fault) {
	lasts := ms(t.For)
	switch t.What {
	case "hang", "fast_errors", "class_fail", "handshake_slow", "answers_twice", "pause":
		w.moods(t)
	case "vanish", "crash", "restart", "drain", "preempt", "replace", "flapping":
		for i, m := range w.machinesOf(t) {
			w.fate(t, m, i)
		}
	case "zone_cut":
		w.cut(t.Zone, true)
		w.After(lasts, func() { w.cut(t.Zone, false) })
	case "slow_link":
		z := w.ways.zone(t.Zone)
		z.delay, z.loss = ms(t.Extra), t.Loss
		w.After(lasts, func() { z.delay, z.loss = 0, 0 })
	case "zone_loss":
		w.zoneLoss(t)
	case "proxy_crash", "proxy_roll", "reconnect", "counter_down", "mute_proxy", "report_burst", "silent":
		w.proxyTrouble(t)
	case "pilot_kill", "pilot_roll", "handover", "reload", "pilot_pause":
		w.pilotTrouble(t)
	case "list_down":
		w.list.stop()
		w.After(lasts, w.list.again)
	case "list_all":
		w.listAll()
	case "slice_move":
		w.moveSlices(w.machinesOf(t))
	} // the others are the clients' doing
}

func (w *World) machinesOf(t scenario.Fault) (struck []*machine) {
	var names []string
	for _, m := range w.machines {
		if t.Zone == "" || m.Zone == t.Zone {
			names = append(names, m.Name)
		}
	}
	for _, n := range t.Targets(names, w.rnd) {
		struck = append(struck, w.byName[n])
	}
	return struck
}

// moods plays what changes how endpoints answer.
func (w *World) moods(t scenario.Fault) {
	struck := w.machinesOf(t)
	for _, m := range struck {
		switch t.What {
		case "hang":
			m.mood = endpoint.FaultMode{Hang: true, OnlyClass: t.Kind}
		case "fast_errors", "class_fail":
			m.mood = endpoint.FaultMode{ErrorFraction: t.Size, OnlyClass: t.Kind}
		case "handshake_slow":
			m.mood = endpoint.FaultMode{ExtraHandshakeMs: t.Size}
			w.slowDial[m.Name] = ms(t.Extra)
		case "pause":
			m.pausing = w.now + ms(t.For)
		}
	}
	w.After(ms(t.For), func() {
		for _, m := range struck {
			m.mood = endpoint.FaultMode{}
			delete(w.slowDial, m.Name)
		}
	})
}

func (w *World) dumb(name string, dumb bool) {
	w.ways.dumb[name] = dumb
	w.note("links", eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[dumb], Peer: name})
	if !dumb {
		w.ways.changed()
	}
	w.silence()
}

func (w *World) cut(zone string, cut bool) {
	w.ways.zone(zone).cut = cut
	w.note("links", eventlog.Event{What: map[bool]eventlog.What{true: eventlog.Cut, false: eventlog.Mended}[cut], Text: zone})
	if !cut {
		w.ways.changed()
	}
	w.silence()
}

// silence ends streams over ways that stay cut until nobody has heard a beat for long enough.
func (w *World) silence() {
	w.After(3*ms(w.Scenario.Beat), func() {
		for _, p := range w.proxies {
			if p.life != nil && p.life.stream != nil && !w.ways.open(p.place, p.life.stream.to.place) {
				p.life.stream.broke(true)
			}
		}
	})
}

// fate plays what happens to one endpoint's process.
func (w *World) fate(t scenario.Fault, m *machine, i int) {
	late, lasts := ms(w.Scenario.ListLate), ms(t.For)
	gone := func(x *wire.Entry) { x.Phase = wire.PhaseGone }
	drains := func(x *wire.Entry) { x.Phase = wire.PhaseDraining }
	switch t.What {
	case "vanish":
		w.dumb(m.Name, true)
		w.tell(m.Name, 4*late, gone)
		w.After(lasts, func() {
			m.kill()
			w.dumb(m.Name, false)
			w.cold(m)
		})
	case "crash":
		m.kill()
		w.tell(m.Name, late, gone)
		w.After(lasts, func() { w.cold(m) })
	case "restart":
		m.kill()
		w.cold(m)
	case "drain", "preempt":
		w.tell(m.Name, late, drains)
		w.After(late+lasts, func() {
			m.kill()
			w.tell(m.Name, late, gone)
			if t.What == "preempt" {
				w.After(ms(t.Extra), func() { w.successor(m) })
			}
		})
	case "replace": // one after another: the new one first
		w.After(float64(i)*ms(t.Every), func() {
			w.successor(m)
			w.After(ms(t.Extra), func() {
				w.tell(m.Name, late, drains)
				w.After(late+ms(w.Scenario.DrainGrace)+500, func() {
					m.kill()
					w.tell(m.Name, late, gone)
				})
			})
		})
	case "flapping":
		w.flap(m, w.now+lasts, ms(t.Every)*(1+float64(i)/7))
	}
}

// cold starts an endpoint's process again and has the list say so.
func (w *World) cold(m *machine) {
	if m.run != nil {
		return // two troubles at once
	}
	m.start(true)
	w.tell(m.Name, ms(w.Scenario.ListLate), func(x *wire.Entry) { x.Phase, x.Started = wire.PhaseReady, w.list.clock() })
}

// successor starts a new machine beside one that goes.
func (w *World) successor(m *machine) {
	name := m.Name + "-next"
	if w.byName[name] != nil {
		return
	}
	group := slices.IndexFunc(w.Scenario.Groups, func(g scenario.Group) bool { return g.Zone == m.Zone && g.Machine == m.Machine })
	w.addMachine(name, group, true)
	w.tell(name, ms(w.Scenario.ListLate), func(*wire.Entry) {})
}

// flap lets an endpoint fail and recover by turns.
func (w *World) flap(m *machine, until, turn float64) {
	if w.now >= until {
		return
	}
	w.After(0.6*turn, func() {
		m.kill()
		w.After(0.4*turn, func() {
			w.cold(m)
			w.flap(m, until, turn)
		})
	})
}

// zoneLoss takes a zone's endpoints, and with a size over a half its proxies and pilots.
func (w *World) zoneLoss(t scenario.Fault) {
	struck := w.machinesOf(t)
	for _, m := range struck {
		m.kill()
		w.tell(m.Name, 4*ms(w.Scenario.ListLate), func(x *wire.Entry) { x.Phase = wire.PhaseGone })
	}
	var proxies []*plain
	var seats []*seat
	if t.Size > 0.5 {
		for _, p := range w.proxies {
			if p.place.zone == t.Zone {
				p.kill()
				proxies = append(proxies, p)
			}
		}
		for _, s := range w.seats {
			if s.place.zone == t.Zone {
				s.stop(true)
				seats = append(seats, s)
			}
		}
	}
	w.After(ms(t.For), func() {
		for _, m := range struck {
			w.cold(m)
		}
		for _, s := range seats {
			if s.run == nil {
				s.start()
			}
		}
		for _, p := range proxies {
			if p.life == nil {
				p.start()
			}
		}
	})
}

func (w *World) proxiesOf(t scenario.Fault) (struck []*plain) {
	var names []string
	by := map[string]*plain{}
	for _, p := range w.proxies {
		if t.Zone == "" || p.place.zone == t.Zone {
			names, by[p.place.name] = append(names, p.place.name), p
		}
	}
	for _, n := range t.Targets(names, w.rnd) {
		struck = append(struck, by[n])
	}
	return struck
}

func (w *World) proxyTrouble(t scenario.Fault) {
	struck := w.proxiesOf(t)
	each := func(f func(p *plain)) func() {
		return func() {
			for _, p := range struck {
				f(p)
			}
		}
	}
	var begin, end func(p *plain)
	switch t.What {
	case "reconnect":
		begin, end = (*plain).drop, func(*plain) {}
	case "counter_down":
		begin, end = func(p *plain) { p.unable = true; p.drop() }, func(p *plain) { p.unable = false }
	case "mute_proxy":
		begin, end = func(p *plain) { p.mute = true }, (*plain).reads
	case "silent":
		begin, end = func(p *plain) { w.dumb(p.place.name, true) }, func(p *plain) { w.dumb(p.place.name, false) }
	case "report_burst":
		begin, end = func(p *plain) { p.reports = t.Size }, func(p *plain) { p.reports = 1 }
	case "proxy_crash":
		begin, end = (*plain).kill, func(p *plain) {
			if p.life == nil {
				p.start()
			}
		}
	case "proxy_roll":
		for i, p := range struck {
			w.After(float64(i)*(ms(t.Extra)+ms(t.Every)), func() {
				p.kill()
				w.After(ms(t.Extra), func() {
					if p.life == nil {
						p.start()
					}
				})
			})
		}
		return
	}
	each(begin)()
	w.After(ms(t.For), each(end))
}

// reads lets a proxy read again: what has come meanwhile is applied in order.
func (p *plain) reads() {
	p.mute = false
	if p.life == nil || p.life.stream == nil {
		return
	}
	s := p.life.stream
	waits := s.unread
	s.unread = nil
	for _, apply := range waits {
		apply()
	}
}

func (w *World) pilotTrouble(t scenario.Fault) {
	var names []string
	by := map[string]*seat{}
	for _, s := range w.seats {
		names, by[s.place.name] = append(names, s.place.name), s
	}
	back := func(s *seat) func() {
		return func() {
			if s.run == nil {
				s.start()
			}
		}
	}
	struck := t.Targets(names, w.rnd)
	for i, n := range struck {
		s := by[n]
		switch t.What {
		case "pilot_kill":
			s.stop(true)
			w.After(ms(t.For), back(s))
		case "pilot_roll":
			w.After(float64(i)*(ms(t.Extra)+ms(t.Every)), func() {
				s.stop(false)
				w.After(ms(t.Extra), back(s))
			})
		case "handover":
			w.handOver(s, w.now+ms(t.For), max(ms(t.Every), 1))
		case "pilot_pause":
			s.paused = w.now + ms(t.For) // nobody hears of it meanwhile either
			w.dumb(n, true)
			w.After(ms(t.For), func() { w.dumb(n, false) })
		case "reload":
			if s.run != nil {
				s.run.reload(t.Size)
			}
		}
	}
}

// handOver has one process after another take over: the old one ends in order and the new one begins.
func (w *World) handOver(s *seat, until, every float64) {
	if w.now >= until {
		return
	}
	s.stop(false)
	w.After(1, func() {
		if s.run == nil {
			s.start()
		}
		w.After(every, func() { w.handOver(s, until, every) })
	})
}

// dealSlices has the store give each slice to one endpoint, in turn.
func (w *World) dealSlices() {
	for i := range w.Scenario.Slices {
		w.owners = append(w.owners, w.machines[i%len(w.machines)].Name)
		w.giveSlice(i)
	}
}

func (w *World) giveSlice(i int) {
	x := wire.Slices{Slice: i, Given: true, From: loadgen.Key(i * scenario.KeysPerSlice), To: loadgen.Key((i + 1) * scenario.KeysPerSlice),
		Lines: []wire.HeldLine{{Endpoint: w.owners[i], Weight: 1}}}
	w.note("rehearsal", eventlog.Event{What: eventlog.Given, Peer: w.owners[i], N: i, Text: x.From})
	w.list.give(x)
}

// moveSlices has the store give the slices of some endpoints to the others, in turn.
func (w *World) moveSlices(from []*machine) {
	var stay []string
	for _, m := range w.machines {
		if !slices.Contains(from, m) {
			stay = append(stay, m.Name)
		}
	}
	for i, owner := range w.owners {
		if slices.Contains(from, w.byName[owner]) && len(stay) > 0 {
			w.owners[i] = stay[i%len(stay)]
			w.giveSlice(i)
		}
	}
}
