package recovery_test

import (
	"maps"
	"slices"

	"indigousher/internal/controller"
	"indigousher/planner"
	"indigousher/telemetry"
)

// plainPlanner puts all endpoints into one table, excludes those that drain, and passes each gossip on once.
type plainPlanner struct {
	phase  map[int]planner.Phase // by endpoint
	joined map[int]bool          // proxies without a table yet
}

// Reconfigure does nothing.
func (p *plainPlanner) Reconfigure(map[string]any) {}

// Handle answers events at once.
func (p *plainPlanner) Handle(_ float64, events []planner.Note) (commands []planner.Order) {
	for _, event := range events {
		switch event := event.(type) {
		case planner.Listing:
			for _, e := range event.Entries {
				commands = append(commands, p.endpoint(e)...)
			}
		case planner.Joined:
			p.joined[event.Proxy] = true
		case planner.Left:
			delete(p.joined, event.Proxy)
		case planner.Gossip:
			commands = append(commands, planner.Tell{Peer: 0, Text: event.Text})
		}
	}
	if len(p.phase) == 0 {
		return commands
	}
	for _, proxy := range slices.Sorted(maps.Keys(p.joined)) {
		commands = append(commands, planner.Bind{Table: 1, Proxy: proxy})
		delete(p.joined, proxy)
	}
	return commands
}

func (p *plainPlanner) endpoint(e planner.Entry) (commands []planner.Order) {
	before, known := p.phase[e.Endpoint]
	if !known {
		commands = append(commands, planner.SetLine{Table: 1, Endpoint: e.Endpoint, Weight: 1})
	}
	if before != e.Phase && e.Phase == planner.Draining {
		commands = append(commands, planner.Withdraw{Endpoint: e.Endpoint, Out: true})
	}
	p.phase[e.Endpoint] = e.Phase
	return commands
}

// options returns a core's options. While a record is replayed nothing goes out, unless that is the planted fault.
func (w *world) options(replayed bool) controller.Plan {
	options := controller.Plan{
		Decider:     &plainPlanner{phase: map[int]planner.Phase{}, joined: map[int]bool{}},
		Terms:       map[string]any{},
		Zones:       []string{"a"},
		Machines:    []string{"std"},
		Kinds:       []string{"read"},
		Intake:      telemetry.Terms{PeriodMs: 1e9, HalfMs: 1e9, LongestMs: 1e9},
		MostProxies: 9,
		List:        transport{},
		Prober:      transport{},
		Peers:       transport{},
		Log:         func(string) {},
		Odd:         func(string, ...string) {},
		Replayed:    true,
	}
	if !replayed || w.faults.replaySends {
		options.Peers = transport{w}
	}
	return options
}

// transport counts the gossip that is commanded, if it has a world.
type transport struct{ world *world }

// Watch does nothing.
func (transport) Watch(bool) {}

// Fetch does nothing.
func (transport) Fetch() {}

// Probe does nothing.
func (transport) Probe(string) {}

// Tell counts.
func (t transport) Tell(int, string) {
	if t.world != nil {
		t.world.gossipCommanded++
	}
}
