package recovery_test

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/planner"
	"indigousher/telemetry"
)

// stubPlanner assigns one table with all endpoints to every proxy, excludes draining endpoints, and answers each gossip
// message with one of its own.
type stubPlanner struct {
	phase  map[int]planner.Phase // by endpoint index
	joined map[int]bool          // joined proxies to which no table has been assigned
}

// Reconfigure implements the planner interface of the controller. It does nothing.
func (p *stubPlanner) Reconfigure(map[string]any) {}

// Handle returns the commands for a batch of events.
func (p *stubPlanner) Handle(_ float64, events []planner.Event) (commands []planner.Command) {
	for _, event := range events {
		switch event := event.(type) {
		case planner.EndpointUpdate:
			for _, e := range event.Entries {
				commands = append(commands, p.endpoint(e)...)
			}
		case planner.ProxyJoined:
			p.joined[event.Proxy] = true
		case planner.ProxyLeft:
			delete(p.joined, event.Proxy)
		case planner.Gossip:
			commands = append(commands, planner.SendGossip{Peer: 0, Text: event.Text})
		}
	}
	if len(p.phase) == 0 {
		return commands
	}
	for _, proxy := range slices.Sorted(maps.Keys(p.joined)) {
		commands = append(commands, planner.AssignTable{Table: 1, Proxy: proxy})
		delete(p.joined, proxy)
	}
	return commands
}

// endpoint returns the commands for one entry of the endpoint list.
func (p *stubPlanner) endpoint(e planner.Entry) (commands []planner.Command) {
	before, known := p.phase[e.Endpoint]
	if !known {
		commands = append(commands, planner.SetWeight{Table: 1, Endpoint: e.Endpoint, Weight: 1})
	}
	if before != e.Phase && e.Phase == planner.Draining {
		commands = append(commands, planner.SetExcluded{Endpoint: e.Endpoint, Excluded: true})
	}
	p.phase[e.Endpoint] = e.Phase
	return commands
}

// options returns the options of a controller core. A core that replays a record sends nothing, unless the injected
// fault replaySends is set.
func (w *system) options(replayed bool) controller.Options {
	options := controller.Options{
		Decider:        &stubPlanner{phase: map[int]planner.Phase{}, joined: map[int]bool{}},
		Settings:       map[string]any{},
		Zones:          []string{"a"},
		Machines:       []string{"std"},
		Classes:        []string{"read"},
		Telemetry:      telemetry.Options{PeriodMs: 1e9, HalfLifeMs: 1e9, MaxAgeMs: 1e9},
		MaxProxies:     9,
		EndpointSource: transport{},
		HealthChecker:  transport{},
		Gossip:         transport{},
		Log:            func(string) {},
		Malformed:      func(string, ...string) {},
		Replayed:       true,
	}
	if !replayed || w.faults.replaySends {
		options.Gossip = transport{w}
	}
	return options
}

// transport implements the interfaces through which the core reaches other components. It counts gossip messages,
// unless system is nil, and ignores everything else.
type transport struct{ system *system }

// Watch ignores a request to watch the endpoint list.
func (transport) Watch(bool) {}

// Fetch ignores a request for the endpoint list.
func (transport) Fetch() {}

// Probe ignores a request for a health check.
func (transport) Probe(string) {}

// Tell counts a gossip message.
func (t transport) Tell(int, string) {
	if t.system != nil {
		t.system.gossipCommanded++
	}
}
