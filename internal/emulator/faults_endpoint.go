package emulator

import (
	"slices"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/wire"
)

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
