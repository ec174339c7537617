package emulator

import (
	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// endpointSource connects a pilot's process to the registry. It implements controller.EndpointSource; its zero value
// does nothing.
type endpointSource struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

// Watch begins to watch the endpoint list. A watch in virtual time needs no end: it goes with the process.
func (s endpointSource) Watch(on bool) {
	if s.pilot != nil && on {
		s.pilot.w.registry.watch(s.pilot, s.process)
	}
}

// Fetch asks for a snapshot of the endpoint list.
func (s endpointSource) Fetch() {
	if s.pilot != nil {
		s.pilot.w.registry.sendSnapshot(s.pilot, s.process)
	}
}

// healthChecker examines endpoints for a pilot's process. It implements controller.HealthChecker; its zero value does
// nothing.
type healthChecker struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

// healthCheckTimeoutMs is how long the answer to a health check is waited for.
const healthCheckTimeoutMs = 1000

// Outcomes of a health check.
const (
	healthOK          = "ok"
	healthTimeout     = "timeout"
	healthUnreachable = "unreachable"
)

// Probe examines an endpoint and posts the outcome to the pilot's loop, at the timeout at the latest.
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

// gossip sends short texts to the other pilots; a cut loses them. It implements controller.GossipSender; its zero value
// does nothing.
type gossip struct {
	pilot *emulatedPilot
}

// Tell sends a text to one pilot, or to all others if the number is negative.
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
