package recovery_test

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/planner"
	"indigousher/telemetry"
)

// plainPlanner puts all endpoints into one table, excludes those that drain, and passes each gossip on once.
type stubPlanner struct {
	phase  map[int]planner.Phase // by endpoint
	joined map[int]bool          // proxies without a table yet
}

// Reconfigure does nothing.
func (p *stubPlanner) Reconfigure(map[string]any) {}

// Handle answers events at once.
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

// options returns a core's options. While a record is replayed nothing goes out, unless that is the injected fault.
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

// transport counts the gossip that is commanded, if it has a world.
type transport struct{ system *system }

// Watch does nothing.
func (transport) Watch(bool) {}

// Fetch does nothing.
func (transport) Fetch() {}

// Probe does nothing.
func (transport) Probe(string) {}

// Tell counts.
func (t transport) Tell(int, string) {
	if t.system != nil {
		t.system.gossipCommanded++
	}
}
