package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// harness drives one planner by hand and keeps what its commands add up to.
type harness struct {
	t         *testing.T
	planner   *Planner
	settings  map[string]any
	now       float64
	weights   map[int]map[int]float64
	excluded  map[int]bool
	admission map[string]SetAdmission
	assigned  map[int][]AssignTable
	written   int // weights set in the last step
	messages  int // commands to proxies in the last step
	checks    int
	logs      []string
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
	h := &harness{
		t: t, planner: New(1, settings), settings: settings, weights: map[int]map[int]float64{}, excluded: map[int]bool{},
		admission: map[string]SetAdmission{}, assigned: map[int][]AssignTable{},
	}
	h.step(EndpointUpdate{Mode: Cached, Entries: entries})
	h.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20}, ProxyJoined{Proxy: 1, Zone: 1, Rate: 20})
	return h
}

// step hands over events and checks what holds for all commands.
func (h *harness) step(events ...Event) []Command {
	commands := h.planner.Handle(h.now, events)
	h.written, h.messages, h.checks = 0, 0, 0
	for _, o := range commands {
		switch o := o.(type) {
		case SetWeight:
			require.False(h.t, math.IsNaN(o.Weight) || math.IsInf(o.Weight, 0) || o.Weight < 0, "%+v", o)
			if h.weights[o.Table] == nil {
				h.weights[o.Table] = map[int]float64{}
			}
			h.weights[o.Table][o.Endpoint] = o.Weight
			h.written++
		case SetExcluded:
			h.excluded[o.Endpoint] = o.Excluded
		case SetAdmission:
			h.admission[fmt.Sprint(o.Table, "/", o.Classes)] = o
		case AssignTable:
			h.assigned[o.Proxy] = append(h.assigned[o.Proxy], o)
		case HealthCheck:
			h.checks++
		case Log:
			h.logs = append(h.logs, o.Text)
		}
		switch o.(type) {
		case SetWeight, SetExcluded, SetAdmission, AssignTable:
			h.messages++
		}
	}
	return commands
}

// rounds lets control rounds pass, each with the events that a function returns.
func (h *harness) rounds(count int, events func() []Event) {
	for range count {
		h.now += roundMs
		var all []Event
		if events != nil {
			all = events()
		}
		h.step(append(all, TimerFired{"gather"})...)
	}
}

// attempts are a round's stats from a zone's proxies: answered and failed attempts and, if utilization is not below 0, a
// load report, for each endpoint named.
func attempts(zone, answered, failed int, utilization float64, endpoints ...int) (events []Event) {
	for _, e := range endpoints {
		m := EndpointStats{Endpoint: e, Zone: zone, Attempts: answered + failed, Failed: failed, MeanMs: 100, SpanMs: 1000}
		if utilization >= 0 {
			m.Load = Load{"util": utilization, "rate": 20 * utilization}
		}
		events = append(events, m)
	}
	return events
}

// share returns the part of a table's weight that some endpoints have.
func (h *harness) share(table int, endpoints ...int) float64 {
	sum, part := 0.0, 0.0
	for e, w := range h.weights[table] {
		sum += w
		for _, want := range endpoints {
			if e == want {
				part += w
			}
		}
	}
	return part / sum
}

// pick returns one of two figures.
func pick(cond bool, yes, no float64) float64 {
	if cond {
		return yes
	}
	return no
}
