package planner

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFullSize holds 300 endpoints in three zones and 200 proxies on one controller; half of them join at once.
func TestFullSize(t *testing.T) {
	var list []Entry
	for i := range 300 {
		list = append(list, Entry{Endpoint: i, Zone: i % 3, Weight: 3})
	}
	joining := func(from, to int) (events []Event) {
		for i := from; i < to; i++ {
			events = append(events, ProxyJoined{Proxy: i, Zone: i % 3, Rate: 10})
		}
		return events
	}
	run := func() (all []Command) {
		h := &harness{
			t: t, planner: New(1, map[string]any{
				"lines_per_s": 4000.0, "head_lines": 4.0, "backlog": 8000.0,
				"messages_most": 30.0, "messages_over": 10000.0, "proxy_count": 200.0, "req_kinds": []any{map[string]any{}},
			}),
			weights: map[int]map[int]float64{}, excluded: map[int]bool{}, admission: map[string]SetAdmission{}, assigned: map[int][]AssignTable{},
		}
		queue, written, acks := 0.0, map[int]int{}, []Event(nil)
		for tick := range 400 {
			h.now = float64(tick) * 50
			events := []Event{TimerFired{"bind"}}
			if queue == 0 { // all has left the channel
				events, acks = append(events, acks...), nil
			}
			switch {
			case tick == 0:
				events = append(events, append([]Event{EndpointUpdate{Mode: Cached, Entries: list}}, joining(0, 100)...)...)
			case tick == 200: // the rest comes over, as a tenth of the endpoints goes
				gone := slices.Clone(list[:30])
				for i := range gone {
					gone[i].Phase = Gone
				}
				events = append(events, append(joining(100, 200), EndpointUpdate{Mode: Delta, Entries: gone})...)
			case tick%20 == 0:
				bad := int(pick(tick < 100, 5, 0)) // endpoint 33 goes out and comes back
				events = append(events, append(attempts(0, 3, 0, 0.5, 99, 102), attempts(0, 5-bad, bad, 0.1, 33)...)...)
				events = append(events, TimerFired{"gather"})
			}
			commands := h.step(events...)
			all = append(all, commands...)
			for _, o := range commands {
				switch o := o.(type) {
				case AckRequest:
					acks = append(acks, Ack{Number: o.Number})
				case AssignTable:
					queue += 5 + float64(len(h.weights[o.Table]))
					written[o.Proxy]++
				case SetWeight:
					for i, b := range h.assigned {
						queue += pick(b[0].Table == o.Table, 1, 0)
						written[i] += int(pick(b[0].Table == o.Table && tick%20 == 0, 1, 0)) / max(1, h.written)
					}
				}
			}
			assert.Less(t, queue, 8000.0, "tick %d", tick)
			queue = math.Max(0, queue-4000*0.05)
		}
		assert.Len(t, h.assigned, 200, "all have tables in the end")
		for _, w := range written {
			assert.LessOrEqual(t, w, 30)
		}
		for i := range 30 {
			assert.Zero(t, h.weights[i%3][i], "what is gone is in no table")
		}
		assert.NotZero(t, h.weights[0][33], "a trial's line is small, but it is sent")
		return all
	}
	assert.Equal(t, run(), run())
}

func TestMalformedInput(t *testing.T) {
	for name, c := range map[string]struct {
		settings map[string]any
		events   []Event
	}{
		"no settings":              {map[string]any{}, []Event{ProxyJoined{Proxy: 1, Zone: 2}, TimerFired{"gather"}, ProxyLeft{Proxy: 7}}},
		"no endpoint":              {map[string]any{"req_kinds": []any{map[string]any{}}}, []Event{ProxyJoined{}, TimerFired{"gather"}, EndpointUpdate{Mode: Snapshot}}},
		"one, weight 0":            {map[string]any{"req_kinds": []any{map[string]any{}}}, []Event{EndpointUpdate{Mode: Snapshot, Entries: []Entry{{}}}, ProxyJoined{}, ProxyJoined{}, TimerFired{"gather"}}},
		"all draining":             {map[string]any{"req_kinds": []any{map[string]any{}}}, []Event{EndpointUpdate{Entries: []Entry{{Phase: Draining}}}, ProxyJoined{}, TimerFired{"gather"}}},
		"unknown endpoint":         {map[string]any{"req_kinds": []any{map[string]any{}}}, []Event{EndpointStats{Endpoint: 9, Zone: 3, Attempts: 5}, HealthCheckResult{Endpoint: 4}, TimerFired{"gather"}}},
		"stats of unknown proxies": {map[string]any{"req_kinds": []any{map[string]any{}}}, []Event{RequestStats{Proxy: 9, Requests: 500, SpanMs: 1000}, Ack{Proxy: 9, Number: 70000}, Gossip{}, HealthCheckResult{Endpoint: 900, Load: Load{"util": 1, "rate": 5}}, TimerFired{"gather"}}},
		"slices":                   {map[string]any{"slices": 64.0, "req_kinds": []any{map[string]any{}}}, []Event{ProxyJoined{}, SliceAssignment{}, SliceWeight{}, TimerFired{"gather"}}},
		"list on request":          {map[string]any{"discovery": "on_request"}, []Event{EndpointUpdate{Mode: UpdateFailed}}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{
				t: t, planner: New(3, c.settings), weights: map[int]map[int]float64{}, excluded: map[int]bool{},
				admission: map[string]SetAdmission{}, assigned: map[int][]AssignTable{},
			}
			h.step(c.events...)
			h.now = -5
			h.rounds(3, nil)
			if c.settings["slices"] != nil {
				assert.Empty(t, h.assigned)
			}
		})
	}
}

func TestSameEventsSameCommands(t *testing.T) {
	run := func() (all []Command) {
		h := newHarness(t, nil)
		for w := range 15 {
			h.now += roundMs
			all = append(all, h.step(append(attempts(w%2, 7, w%4, 0.2*float64(w%6), 0, 1, 2, 3, 4, 5), TimerFired{"gather"})...)...)
		}
		return all
	}
	assert.Equal(t, run(), run())
}
