package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// harness drives one planner by hand and keeps what its commands add up to.
type harness struct {
	t        *testing.T
	planner  *Planner
	settings map[string]any
	now      float64 // ms

	// What all commands came to.
	weights   map[int]map[int]float64 // by table and endpoint
	excluded  map[int]bool
	admission map[string]SetAdmission // by "table/classes"
	assigned  map[int][]AssignTable   // by proxy, in order
	logs      []string

	// What the commands of the last step were.
	written  int // weights that were set
	messages int // commands to proxies
	checks   int // health checks
}

// newHarness starts a planner with three zones of two endpoints (0,1 / 2,3 / 4,5) and a proxy in each of zones 0 and 1.
// The settings and the endpoint list may be changed before.
func newHarness(t *testing.T, change func(settings map[string]any, entries []Entry)) *harness {
	settings := map[string]any{
		"instances": 1.0, "rank": 0.0, "lines_per_s": 1000.0, "head_lines": 4.0, "backlog": 1500.0, "cold": 10000.0,
		"messages_most": 30.0, "messages_over": 10000.0, "admission": "share", "retry_default": 1.0, "proxy_count": 2.0,
		"fields": []any{"util", "rate"},
		"req_kinds": []any{
			map[string]any{"payoff": 1.0, "response_target": 1000.0, "repeats": "replayable"},
			map[string]any{"payoff": 5.0, "response_target": 500.0, "repeats": "non-replayable"},
		},
	}
	var entries []Entry
	for i := range 6 {
		entries = append(entries, Entry{Endpoint: i, Zone: i / 2, Machine: i % 2, Weight: 2})
	}
	if change != nil {
		change(settings, entries)
	}
	h := newEmptyHarness(t, settings)
	h.step(EndpointUpdate{Mode: Cached, Entries: entries})
	h.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20}, ProxyJoined{Proxy: 1, Zone: 1, Rate: 20})
	return h
}

// newEmptyHarness starts a planner that knows neither endpoints nor proxies.
func newEmptyHarness(t *testing.T, settings map[string]any) *harness {
	return &harness{
		t:         t,
		planner:   New(1, settings),
		settings:  settings,
		weights:   map[int]map[int]float64{},
		excluded:  map[int]bool{},
		admission: map[string]SetAdmission{},
		assigned:  map[int][]AssignTable{},
	}
}

// step hands over events and checks what holds for all commands.
func (h *harness) step(events ...Event) []Command {
	commands := h.planner.Handle(h.now, events)
	h.written = 0
	h.messages = 0
	h.checks = 0
	for _, command := range commands {
		h.apply(command)
		switch command.(type) {
		case SetWeight, SetExcluded, SetAdmission, AssignTable:
			h.messages++
		}
	}
	return commands
}

// take adds a command to what the commands came to.
func (h *harness) apply(command Command) {
	switch command := command.(type) {
	case SetWeight:
		weight := command.Weight
		require.False(h.t, math.IsNaN(weight) || math.IsInf(weight, 0) || weight < 0, "%+v", command)
		if h.weights[command.Table] == nil {
			h.weights[command.Table] = map[int]float64{}
		}
		h.weights[command.Table][command.Endpoint] = weight
		h.written++
	case SetExcluded:
		h.excluded[command.Endpoint] = command.Excluded
	case SetAdmission:
		h.admission[fmt.Sprint(command.Table, "/", command.Classes)] = command
	case AssignTable:
		h.assigned[command.Proxy] = append(h.assigned[command.Proxy], command)
	case HealthCheck:
		h.checks++
	case Log:
		h.logs = append(h.logs, command.Text)
	}
}

// rounds lets control rounds pass, each with the events that a function returns.
func (h *harness) rounds(count int, events func() []Event) {
	for range count {
		h.now += roundMs
		var all []Event
		if events != nil {
			all = events()
		}
		h.step(append(all, TimerFired{roundTimer})...)
	}
}

// join has proxies of a zone join, with numbers from one up to below another.
func (h *harness) join(from, below, zone int, rate float64) {
	for i := from; i < below; i++ {
		h.step(ProxyJoined{Proxy: i, Zone: zone, Rate: rate})
	}
}

// attempts are a round's stats from a zone's proxies: answered and failed attempts and, if utilization is not below
// 0, a load report, for each endpoint named.
func attempts(zone, answered, failed int, utilization float64, endpoints ...int) (events []Event) {
	for _, endpoint := range endpoints {
		stats := EndpointStats{
			Endpoint: endpoint, Zone: zone, Attempts: answered + failed, Failed: failed,
			MeanMs: 100, SpanMs: 1000,
		}
		if utilization >= 0 {
			stats.Load = Load{"util": utilization, "rate": 20 * utilization}
		}
		events = append(events, stats)
	}
	return events
}

// steady returns a function that returns the same attempts in each round.
func steady(zone, answered, failed int, utilization float64, endpoints ...int) func() []Event {
	return func() []Event { return attempts(zone, answered, failed, utilization, endpoints...) }
}

// together returns a function that returns the events of several.
func together(parts ...func() []Event) func() []Event {
	return func() (events []Event) {
		for _, part := range parts {
			events = append(events, part()...)
		}
		return events
	}
}

// restarted returns the list update for endpoint 0, of zone 0, that has started again at some time.
func restarted(at float64) EndpointUpdate {
	return EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Started: at}}}
}

// share returns the part of a table's weight that some endpoints have.
func (h *harness) share(table int, endpoints ...int) float64 {
	sum := 0.0
	part := 0.0
	for endpoint, weight := range h.weights[table] {
		sum += weight
		for _, want := range endpoints {
			if endpoint == want {
				part += weight
			}
		}
	}
	return part / sum
}

// used returns how many endpoints of a table have weight.
func weightedEndpoints(weights map[int]float64) int {
	count := 0
	for _, weight := range weights {
		if weight > 0 {
			count++
		}
	}
	return count
}
