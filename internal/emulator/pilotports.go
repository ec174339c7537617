package emulator

import (
	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// endpointSource connects a pilot's process to the registry. It implements controller.EndpointSource. The methods of
// the zero value do nothing.
type endpointSource struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

// Watch subscribes to changes of the endpoint list if on is true. Unsubscribing does nothing, because the registry
// drops the subscriptions of processes that have ended.
func (s endpointSource) Watch(on bool) {
	if s.pilot != nil && on {
		s.pilot.w.registry.watch(s.pilot, s.process)
	}
}

// Fetch requests a snapshot of the endpoint list.
func (s endpointSource) Fetch() {
	if s.pilot != nil {
		s.pilot.w.registry.sendSnapshot(s.pilot, s.process)
	}
}

// healthChecker performs health checks of endpoints for a pilot's process. It implements controller.HealthChecker.
// The methods of the zero value do nothing.
type healthChecker struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

// healthCheckTimeoutMs is the timeout of a health check in ms.
const healthCheckTimeoutMs = 1000

// Values of controller.HealthChecked.Outcome.
const (
	healthOK          = "ok"
	healthTimeout     = "timeout"
	healthUnreachable = "unreachable"
)

// Probe starts a health check of an endpoint. It posts one outcome to the pilot's loop, at the latest after
// healthCheckTimeoutMs. It does nothing if probing is disabled in the pilot's settings.
func (c healthChecker) Probe(name string) {
	if c.pilot == nil || !c.pilot.settings.Probing {
		return
	}
	w := c.pilot.w
	answered := false
	answer := func(outcome string, load []wire.LoadMetric) {
		if answered || c.pilot.process != c.process {
			return
		}
		answered = true
		c.pilot.post(controller.HealthChecked{Endpoint: name, Outcome: outcome, Load: load})
	}
	w.After(healthCheckTimeoutMs, func() { answer(healthTimeout, nil) })
	endpoint := w.endpointByName[name]
	if endpoint == nil {
		return
	}
	w.network.transmit(c.pilot.location, endpoint.location, func() {
		switch {
		case endpoint.process == nil:
			w.network.transmit(endpoint.location, c.pilot.location, func() { answer(healthUnreachable, nil) })
		case !endpoint.fault.Hang:
			load := endpoint.process.load
			w.network.transmit(endpoint.location, c.pilot.location, func() { answer(healthOK, load) })
		}
	})
}

// gossip sends short text messages to the other pilots. Messages sent during a cut are lost. It implements
// controller.GossipSender. The methods of the zero value do nothing.
type gossip struct {
	pilot *emulatedPilot
}

// Tell sends a text to the pilot with the given index, or to all other pilots if peer is negative.
func (g gossip) Tell(peer int, text string) {
	if g.pilot == nil || !g.pilot.w.Gossip {
		return
	}
	w := g.pilot.w
	for _, other := range w.pilots {
		isAddressed := peer < 0 || other.rank == peer
		if other == g.pilot || !isAddressed || !w.network.reachable(g.pilot.location, other.location) {
			continue
		}
		w.After(w.network.delay(g.pilot.location, other.location), func() {
			other.post(controller.GossipReceived{From: g.pilot.rank, Text: text})
		})
	}
}
