package emulator

import (
	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// endpointSource is a pilot's end of the list; its zero value does nothing.
type endpointSource struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

func (l endpointSource) Watch(on bool) {
	if l.pilot != nil && on {
		l.pilot.w.registry.watch(l.pilot, l.process)
	}
}

func (l endpointSource) Fetch() {
	if l.pilot != nil {
		l.pilot.w.registry.sendSnapshot(l.pilot, l.process)
	}
}

// healthChecker examines endpoints.
type healthChecker struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

// probeTimeoutMs is how long an answer to a probe is waited for.
const probeTimeoutMs = 1000

func (p healthChecker) Probe(name string) {
	if p.pilot == nil || !p.pilot.settings.Probing {
		return
	}
	w, m := p.pilot.w, p.pilot.w.endpointByName[name]
	answered := false
	done := func(outcome string, load []wire.Figure) {
		if answered || p.pilot.process != p.process {
			return
		}
		answered = true
		p.pilot.post(controller.HealthChecked{Endpoint: name, Outcome: outcome, Load: load})
	}
	w.After(probeTimeoutMs, func() { done("timeout", nil) })
	if m == nil {
		return
	}
	w.network.carry(p.pilot.place, m.place, func() {
		switch {
		case m.process == nil:
			w.network.carry(m.place, p.pilot.place, func() { done("unreachable", nil) })
		case !m.fault.Hang:
			load := m.process.load
			w.network.carry(m.place, p.pilot.place, func() { done("ok", load) })
		}
	})
}

// gossip carries notes between pilots; a part of them is lost where ways are lossy.
type gossip struct {
	pilot   *emulatedPilot
	process *pilotProcess
}

func (p gossip) Tell(peer int, text string) {
	if p.pilot == nil || !p.pilot.w.Gossip {
		return
	}
	for _, other := range p.pilot.w.pilots {
		if other == p.pilot || peer >= 0 && other.rank != peer || !p.pilot.w.network.open(p.pilot.place, other.place) {
			continue
		}
		p.pilot.w.After(p.pilot.w.network.delay(p.pilot.place, other.place), func() {
			if other.process != nil {
				other.post(controller.GossipReceived{From: p.pilot.rank, Text: text})
			}
		})
	}
}
