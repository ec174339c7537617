package emulator

import (
	"slices"

	"indigousher/internal/scenario"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/wire"
)

const (
	// lostEndpointDelayFactor is the multiple of the list delay after which the registry removes an endpoint that
	// disappears without deregistering.
	lostEndpointDelayFactor = 4
	// replaceSlackMs is the time in ms between the drain deadline of a replaced endpoint and its termination.
	replaceSlackMs = 500
	// A flapping endpoint is up for the fraction flapUpFraction of its period and down for the rest. The period of the
	// endpoint with index i is longer by i/flapRateSteps, so that the endpoints do not flap in step.
	flapUpFraction   = 0.6
	flapDownFraction = 0.4
	flapRateSteps    = 7
)

// faultEndpoints selects the endpoints that a fault affects; the selection is random if the fault affects only a
// part of the matching endpoints.
func (w *World) faultEndpoints(fault scenario.Fault) []*emulatedEndpoint {
	var names []string
	for _, e := range w.endpoints {
		if fault.Zone == "" || e.Zone == fault.Zone {
			names = append(names, e.Name)
		}
	}
	var affected []*emulatedEndpoint
	for _, name := range fault.Targets(names, w.random) {
		affected = append(affected, w.endpointByName[name])
	}
	return affected
}

// setFaultMode sets a fault mode on the affected endpoints until the fault ends, and returns these endpoints.
func (w *World) setFaultMode(fault scenario.Fault, mode endpoint.FaultMode) []*emulatedEndpoint {
	affected := w.faultEndpoints(fault)
	for _, e := range affected {
		e.fault = mode
	}
	w.scheduleRepair(fault, affected)
	return affected
}

// scheduleRepair schedules the reset of the fault mode and the dial delay of the affected endpoints at the end of
// the fault.
func (w *World) scheduleRepair(fault scenario.Fault, affected []*emulatedEndpoint) {
	w.After(milliseconds(fault.Duration), func() {
		for _, e := range affected {
			e.fault = endpoint.FaultMode{}
			delete(w.dialDelayMs, e.Name)
		}
	})
}

// hang makes endpoints accept requests of the affected class without answering them.
func (w *World) hang(fault scenario.Fault) {
	w.setFaultMode(fault, endpoint.FaultMode{Hang: true, OnlyClass: fault.Class})
}

// failRequests makes endpoints fail a fraction of their requests at once.
func (w *World) failRequests(fault scenario.Fault) {
	w.setFaultMode(fault, endpoint.FaultMode{ErrorFraction: fault.Size, OnlyClass: fault.Class})
}

// slowHandshakes makes new connections to endpoints cost more work and take longer.
func (w *World) slowHandshakes(fault scenario.Fault) {
	for _, e := range w.setFaultMode(fault, endpoint.FaultMode{ExtraHandshakeMs: fault.Size}) {
		w.dialDelayMs[e.Name] = milliseconds(fault.ExtraDelay)
	}
}

// answerTwice selects endpoints as the rehearsal does but has no other effect, because the emulator delivers exactly
// one answer to each attempt. It still draws the random selection.
func (w *World) answerTwice(fault scenario.Fault) { w.scheduleRepair(fault, w.faultEndpoints(fault)) }

// pauseEndpoints stops all cores of endpoints until the fault ends.
func (w *World) pauseEndpoints(fault scenario.Fault) {
	affected := w.faultEndpoints(fault)
	for _, e := range affected {
		e.pausedUntil = w.now + milliseconds(fault.Duration)
	}
	w.scheduleRepair(fault, affected)
}

// listDelayMs returns the delay in ms after which the endpoint list reflects a change.
func (w *World) listDelayMs() float64 { return milliseconds(w.Scenario.ListDelay) }

// killEndpoint ends an endpoint's process and removes the endpoint from the list after the list delay.
func (w *World) killEndpoint(e *emulatedEndpoint) {
	e.kill()
	w.setPhase(e.Name, w.listDelayMs(), wire.PhaseGone)
}

// vanishEndpoints disconnects endpoints from the network without closing their connections. At the end of the fault
// they restart cold.
func (w *World) vanishEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.setBlackhole(e.Name, true)
		w.setPhase(e.Name, lostEndpointDelayFactor*w.listDelayMs(), wire.PhaseGone)
		w.After(milliseconds(fault.Duration), func() {
			e.kill()
			w.setBlackhole(e.Name, false)
			w.restartCold(e)
		})
	}
}

// crashEndpoints kills endpoints and restarts them cold at the end of the fault.
func (w *World) crashEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.killEndpoint(e)
		w.After(milliseconds(fault.Duration), func() { w.restartCold(e) })
	}
}

// restartEndpoints kills endpoints and restarts them cold at once.
func (w *World) restartEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		e.kill()
		w.restartCold(e)
	}
}

// drainEndpoints drains endpoints and then kills them without a restart.
func (w *World) drainEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.drainThenKill(fault, e, func() {})
	}
}

// preemptEndpoints drains and kills endpoints, and starts a replacement for each of them after the fault's
// ExtraDelay.
func (w *World) preemptEndpoints(fault scenario.Fault) {
	for _, e := range w.faultEndpoints(fault) {
		w.drainThenKill(fault, e, func() {
			w.After(milliseconds(fault.ExtraDelay), func() { w.addSuccessor(e) })
		})
	}
}

// drainThenKill marks an endpoint as draining in the list, kills it once the fault's duration has passed since the
// list was updated, and then calls then.
func (w *World) drainThenKill(fault scenario.Fault, e *emulatedEndpoint, then func()) {
	w.setPhase(e.Name, w.listDelayMs(), wire.PhaseDraining)
	w.After(w.listDelayMs()+milliseconds(fault.Duration), func() {
		w.killEndpoint(e)
		then()
	})
}

// replaceEndpoints replaces endpoints one after another. The new endpoint starts first; then the old one is drained
// and killed.
func (w *World) replaceEndpoints(fault scenario.Fault) {
	for i, e := range w.faultEndpoints(fault) {
		w.After(float64(i)*milliseconds(fault.Interval), func() {
			w.addSuccessor(e)
			w.After(milliseconds(fault.ExtraDelay), func() {
				w.setPhase(e.Name, w.listDelayMs(), wire.PhaseDraining)
				drainMs := w.listDelayMs() + milliseconds(w.Scenario.DrainGrace) + replaceSlackMs
				w.After(drainMs, func() { w.killEndpoint(e) })
			})
		})
	}
}

// flapEndpoints makes endpoints crash and restart periodically until the fault ends.
func (w *World) flapEndpoints(fault scenario.Fault) {
	until := w.now + milliseconds(fault.Duration)
	for i, e := range w.faultEndpoints(fault) {
		periodMs := milliseconds(fault.Interval) * (1 + float64(i)/flapRateSteps)
		w.flap(e, until, periodMs)
	}
}

// flap makes an endpoint crash and restart with a period in ms. No new period begins after the time until, in ms.
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

// restartCold starts an endpoint's process cold and updates its list entry. It does nothing if the end of an
// overlapping fault has already restarted the endpoint.
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

// addSuccessor starts a cold endpoint of the same group as one that is being replaced, unless this successor already
// exists.
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
