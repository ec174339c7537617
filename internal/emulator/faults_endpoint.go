package emulator

import (
	"slices"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/wire"
)

const (
	// lostListFactor is how many times as long the registry takes to notice an endpoint that vanishes without a word.
	lostEndpointDelayFactor = 4
	// replaceSlackMs is how long after its drain deadline a replaced endpoint ends.
	replaceSlackMs = 500
	// A flapping endpoint is up for the first part of its period and down for the rest. Each flaps at a rate of its
	// own.
	flapUpFraction   = 0.6
	flapDownFraction = 0.4
	flapRateSteps    = 7
)

// faultEndpoints draws the endpoints that a fault strikes.
func (w *World) faultEndpoints(fault scenario.Fault) []*emulatedEndpoint {
	var names []string
	for _, e := range w.endpoints {
		if fault.Zone == "" || e.Zone == fault.Zone {
			names = append(names, e.Name)
		}
	}
	var struck []*emulatedEndpoint
	for _, name := range fault.Targets(names, w.random) {
		struck = append(struck, w.endpointByName[name])
	}
	return struck
}

// setFaultMode has some endpoints answer otherwise until the fault ends.
func (w *World) setFaultMode(fault scenario.Fault, mode endpoint.FaultMode) []*emulatedEndpoint {
	struck := w.faultEndpoints(fault)
	for _, e := range struck {
		e.fault = mode
	}
	w.scheduleRepair(fault, struck)
	return struck
}

// scheduleRepair ends what is wrong with some endpoints at the fault's end.
func (w *World) scheduleRepair(fault scenario.Fault, struck []*emulatedEndpoint) {
	w.After(milliseconds(fault.For), func() {
		for _, e := range struck {
			e.fault = endpoint.FaultMode{}
			delete(w.dialDelayMs, e.Name)
		}
	})
}

func (w *World) hang(fault scenario.Fault) {
	w.setFaultMode(fault, endpoint.FaultMode{Hang: true, OnlyClass: fault.Kind})
}

func (w *World) failRequests(fault scenario.Fault) {
	w.setFaultMode(fault, endpoint.FaultMode{ErrorFraction: fault.Size, OnlyClass: fault.Kind})
}

func (w *World) slowHandshakes(fault scenario.Fault) {
	for _, e := range w.setFaultMode(fault, endpoint.FaultMode{ExtraHandshakeMs: fault.Size}) {
		w.dialDelayMs[e.Name] = milliseconds(fault.Extra)
	}
}

// answerTwice draws its targets as on sockets but changes nothing: a second answer has nowhere to go in virtual time.
func (w *World) answerTwice(fault scenario.Fault) { w.scheduleRepair(fault, w.faultEndpoints(fault)) }

func (w *World) pauseEndpoints(fault scenario.Fault) {
	struck := w.faultEndpoints(fault)
	for _, e := range struck {
		e.pausedUntil = w.now + milliseconds(fault.For)
	}
	w.scheduleRepair(fault, struck)
}

func (w *World) listDelayMs() float64 { return milliseconds(w.Scenario.ListLate) }

// killEndpoint ends an endpoint's process and has the list say so.
func (w *World) killEndpoint(e *emulatedEndpoint) {
	e.kill()
	w.setPhase(e.Name, w.listDelayMs(), wire.PhaseGone)
}

// vanishEndpoints cuts endpoints off; at the end they come back cold.
func (w *World) vanishEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.setBlackhole(e.Name, true)
		w.setPhase(e.Name, lostEndpointDelayFactor*w.listDelayMs(), wire.PhaseGone)
		w.After(milliseconds(fault.For), func() {
			e.kill()
			w.setBlackhole(e.Name, false)
			w.restartCold(e)
		})
	}
}

func (w *World) crashEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.killEndpoint(e)
		w.After(milliseconds(fault.For), func() { w.restartCold(e) })
	}
}

func (w *World) restartEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		e.kill()
		w.restartCold(e)
	}
}

// drainEndpoints has endpoints drain and end for good.
func (w *World) drainEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.drainThenKill(fault, e, func() {})
	}
}

// preemptEndpoints has endpoints drain, end, and later be replaced by new ones.
func (w *World) preemptEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.drainThenKill(fault, e, func() {
			w.After(milliseconds(fault.Extra), func() { w.addSuccessor(e) })
		})
	}
}

func (w *World) drainThenKill(fault scenario.Fault, e *emulatedEndpoint, then func()) {
	w.setPhase(e.Name, w.listDelayMs(), wire.PhaseDraining)
	w.After(w.listDelayMs()+milliseconds(fault.For), func() {
		w.killEndpoint(e)
		then()
	})
}

// replaceEndpoints replaces endpoints one after another: the new one starts first, then the old one drains and ends.
func (w *World) replaceEndpoints(fault scenario.Fault) {
	for i, e := range w.faultEndpoints(fault) {
		w.After(float64(i)*milliseconds(fault.Every), func() {
			w.addSuccessor(e)
			w.After(milliseconds(fault.Extra), func() {
				w.setPhase(e.Name, w.listDelayMs(), wire.PhaseDraining)
				drainMs := w.listDelayMs() + milliseconds(w.Scenario.DrainGrace) + replaceSlackMs
				w.After(drainMs, func() { w.killEndpoint(e) })
			})
		})
	}
}

// flapEndpoints has endpoints fail and recover by turns.
func (w *World) flapEndpoints(fault scenario.Fault) {
	until := w.now + milliseconds(fault.For)
	for i, e := range w.faultEndpoints(fault) {
		periodMs := milliseconds(fault.Every) * (1 + float64(i)/flapRateSteps)
		w.flap(e, until, periodMs)
	}
}

// flap has an endpoint fail and recover, again and again until a time in ms.
func (w *World) flap(e *emulatedEndpoint, until, periodMs float64) {
	if w.now >= until {
		return
	}
	w.After(flapUpFraction*periodMs, func() {
		e.kill()
		w.After(flapDownFraction*periodMs, func() {
			w.restartCold(e)
			w.flap(e, until, periodMs)
		})
	})
}

// restartCold starts an endpoint's process and has the list say so, unless another fault's end has started it.
func (w *World) restartCold(e *emulatedEndpoint) {
	if e.process != nil {
		return
	}
	e.start(true)
	w.updateEntry(e.Name, w.listDelayMs(), func(entry *wire.Entry) {
		entry.Phase = wire.PhaseReady
		entry.Started = w.registry.clock()
	})
}

// addSuccessor starts a new endpoint beside one that goes, of the same group.
func (w *World) addSuccessor(e *emulatedEndpoint) {
	name := e.Name + "-next"
	if w.endpointByName[name] != nil {
		return
	}
	group := slices.IndexFunc(w.Scenario.Groups, func(g scenario.Group) bool {
		return g.Zone == e.Zone && g.Machine == e.Machine
	})
	w.addEndpoint(name, group, true)
	w.updateEntry(name, w.listDelayMs(), func(*wire.Entry) {})
}
