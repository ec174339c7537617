package planner

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// harness drives one Brain by hand and keeps what its orders add up to.
type harness struct {
	t         *testing.T
	planner   *Planner
	settings  map[string]any
	now       float64
	weights   map[int]map[int]float64
	excluded  map[int]bool
	admission map[string]SetAdmission
	assigned  map[int][]AssignTable
	written   int // lines ordered in the last step
	messages  int // orders of any line in the last step
	checks    int
	logs      []string
}

// newHarness starts a Brain with three zones of two endpoints (0,1 / 2,3 / 4,5) and a proxy in zones 0 and 1.
func newHarness(t *testing.T, change func(terms map[string]any, entries []Entry)) *harness {
	terms := map[string]any{
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
		change(terms, entries)
	}
	p := &harness{
		t: t, planner: New(1, terms), settings: terms, weights: map[int]map[int]float64{}, excluded: map[int]bool{},
		admission: map[string]SetAdmission{}, assigned: map[int][]AssignTable{},
	}
	p.step(EndpointUpdate{Mode: Cached, Entries: entries})
	p.step(ProxyJoined{Proxy: 0, Zone: 0, Rate: 20}, ProxyJoined{Proxy: 1, Zone: 1, Rate: 20})
	return p
}

// step hands notes over and checks what holds for all orders.
func (p *harness) step(notes ...Event) []Command {
	orders := p.planner.Handle(p.now, notes)
	p.written, p.messages, p.checks = 0, 0, 0
	for _, o := range orders {
		switch o := o.(type) {
		case SetWeight:
			require.False(p.t, math.IsNaN(o.Weight) || math.IsInf(o.Weight, 0) || o.Weight < 0, "%+v", o)
			if p.weights[o.Table] == nil {
				p.weights[o.Table] = map[int]float64{}
			}
			p.weights[o.Table][o.Endpoint] = o.Weight
			p.written++
		case SetExcluded:
			p.excluded[o.Endpoint] = o.Excluded
		case SetAdmission:
			p.admission[fmt.Sprint(o.Table, "/", o.Classes)] = o
		case AssignTable:
			p.assigned[o.Proxy] = append(p.assigned[o.Proxy], o)
		case HealthCheck:
			p.checks++
		case Log:
			p.logs = append(p.logs, o.Text)
		}
		switch o.(type) {
		case SetWeight, SetExcluded, SetAdmission, AssignTable:
			p.messages++
		}
	}
	return orders
}

// rounds lets whole windows pass, with the notes that each brings.
func (p *harness) rounds(windows int, notes func() []Event) {
	for range windows {
		p.now += roundMs
		var all []Event
		if notes != nil {
			all = notes()
		}
		p.step(append(all, TimerFired{"gather"})...)
	}
}

// attempts are one window's lines from a zone: good and failed tries and a load for each endpoint named.
func attempts(zone, good, failed int, util float64, endpoints ...int) (notes []Event) {
	for _, e := range endpoints {
		m := EndpointStats{Endpoint: e, Zone: zone, Attempts: good + failed, Failed: failed, MeanMs: 100, SpanMs: 1000}
		if util >= 0 {
			m.Load = Load{"util": util, "rate": 20 * util}
		}
		notes = append(notes, m)
	}
	return notes
}

// share is the part of a table's weight on endpoints that can be picked.
func (p *harness) share(table int, endpoints ...int) float64 {
	sum, part := 0.0, 0.0
	for e, w := range p.weights[table] {
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
