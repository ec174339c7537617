package planner

import (
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// harness passes events to a planner and tracks the state that results from its commands.
type harness struct {
	t        *testing.T
	planner  *Planner
	settings map[string]any
	now      float64 // ms

	// State after all commands so far.
	weights   map[int]map[int]float64 // by table and endpoint
	excluded  map[int]bool            // by endpoint
	admission map[string]SetAdmission // by "table/classes"
	assigned  map[int][]AssignTable   // by proxy, in order
	logs      []string                // texts of all Log commands

	// Counts of the commands of the latest step.
	written  int // SetWeight commands
	messages int // commands to proxies, without ack requests
	checks   int // HealthCheck commands
}

// newHarness starts a planner with three zones of two endpoints (0,1 / 2,3 / 4,5) and one proxy each in zones 0 and 1.
// Unless nil, change can modify the settings and the endpoint list before the start.
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

// newEmptyHarness starts a planner without endpoints and proxies.
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

// step passes events to the planner, checks its commands and applies them to the harness's state.
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

// apply applies a command to the harness's state.
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
	case ClearTable:
		delete(h.weights, command.Table)
		maps.DeleteFunc(h.admission, func(key string, _ SetAdmission) bool {
			return strings.HasPrefix(key, fmt.Sprint(command.Table, "/"))
		})
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

// rounds runs a number of control rounds, each with the events that a call of events returns. events may be nil.
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

// join lets the proxies with indices from (inclusive) to below (exclusive) join in a zone.
func (h *harness) join(from, below, zone int, rate float64) {
	for i := from; i < below; i++ {
		h.step(ProxyJoined{Proxy: i, Zone: zone, Rate: rate})
	}
}

// attempts returns the statistics of a zone's proxies for one round: for each endpoint, the numbers of answered and
// failed attempts and a load report with the utilization. A negative utilization means no load report.
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

// steady returns a function that returns the same attempts for every round.
func steady(zone, answered, failed int, utilization float64, endpoints ...int) func() []Event {
	return func() []Event { return attempts(zone, answered, failed, utilization, endpoints...) }
}

// together returns a function that returns the events of several functions.
func together(parts ...func() []Event) func() []Event {
	return func() (events []Event) {
		for _, part := range parts {
			events = append(events, part()...)
		}
		return events
	}
}

// restarted returns a list update that reports a start of endpoint 0, in zone 0, at a time in ms.
func restarted(at float64) EndpointUpdate {
	return EndpointUpdate{Mode: Delta, Entries: []Entry{{Endpoint: 0, Zone: 0, Weight: 2, Started: at}}}
}

// share returns the fraction of a table's total weight that the given endpoints have.
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

// weightedEndpoints returns how many endpoints have a weight above 0.
func weightedEndpoints(weights map[int]float64) int {
	count := 0
	for _, weight := range weights {
		if weight > 0 {
			count++
		}
	}
	return count
}
