package planner_test

import (
	"fmt"
	"testing"

	"indigousher/planner"
)

// benchFleet is a fleet of the given size in three zones.
type benchFleet struct{ endpoints, proxies int }

// settings returns settings with two class groups, a channel that is never full, and tables for subsets of the proxies.
func (f benchFleet) settings() map[string]any {
	return map[string]any{
		"instances": 1.0, "lines_per_s": 1e6, "head_lines": 4.0, "backlog": 1e6, "cold": 10000.0, "messages_most": 30.0,
		"messages_over": 10000.0, "admission": "share", "retry_default": 1.0, "proxy_count": float64(f.proxies),
		"conns_least": float64(f.proxies), "zones": []any{"a", "b", "c"}, "fields": []any{"util", "rate"},
		"ejects_after": 5.0, "probing": true,
		"req_kinds": []any{
			map[string]any{"payoff": 1.0, "response_target": 1000.0, "repeats": "replayable"},
			map[string]any{"payoff": 5.0, "response_target": 500.0, "only_machines": []any{1.0}},
		},
	}
}

// start returns a planner that has received the fleet's endpoint list and proxies.
func (f benchFleet) start() *planner.Planner {
	p := planner.New(1, f.settings())
	list := planner.EndpointUpdate{Mode: planner.Snapshot}
	for i := range f.endpoints {
		list.Entries = append(list.Entries, planner.Entry{Endpoint: i, Zone: i % 3, Machine: i % 2, Weight: 1 + float64(i%4)})
	}
	events := []planner.Event{list}
	for i := range f.proxies {
		events = append(events, planner.ProxyJoined{Proxy: i, Zone: i % 3, Rate: 10})
	}
	p.Handle(0, events)
	return p
}

// round returns the events of a control round: each zone's statistics for each endpoint, each proxy's request
// statistics, and acknowledgements of the latest request unless ack is negative. Loads vary from round to round, and
// some attempts fail.
func (f benchFleet) round(number, ack int) []planner.Event {
	var events []planner.Event
	for zone := range 3 {
		for i := range f.endpoints {
			load := 0.3 + 0.1*float64((i+number)%9)
			events = append(events, planner.EndpointStats{
				Endpoint: i, Zone: zone, Attempts: 20, Failed: (i + number/7) % 5 / 4 * 7,
				MeanMs: 20 + 10*float64((i+zone)%3), SpanMs: 1000, Load: planner.Load{"util": load, "rate": 100 * load},
			})
		}
	}
	for i := range f.proxies {
		events = append(events, planner.RequestStats{Proxy: i, Class: i % 2, Requests: 8 + (i+number)%5, SpanMs: 1000})
		if ack >= 0 {
			events = append(events, planner.Ack{Proxy: i, Number: ack})
		}
	}
	return append(events, planner.TimerFired{Name: "gather"})
}

// BenchmarkControlRound measures a control round with statistics of every endpoint from every zone.
func BenchmarkControlRound(b *testing.B) {
	for _, fleet := range []benchFleet{{12, 12}, {120, 150}, {600, 400}} {
		b.Run(fmt.Sprintf("endpoints=%d,proxies=%d", fleet.endpoints, fleet.proxies), func(b *testing.B) {
			p := fleet.start()
			ack := -1
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				b.StopTimer()
				events := fleet.round(n, ack)
				b.StartTimer()
				for _, command := range p.Handle(1000*float64(n+1), events) {
					if request, ok := command.(planner.AckRequest); ok {
						ack = request.Number
					}
				}
			}
		})
	}
}

// BenchmarkJoin measures the event that a proxy joins a running fleet.
func BenchmarkJoin(b *testing.B) {
	fleet := benchFleet{120, 1000}
	p := fleet.start()
	now := 0.0
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		now++
		p.Handle(now, []planner.Event{planner.ProxyJoined{Proxy: n % fleet.proxies, Zone: n % 3, Rate: 10}})
	}
}
