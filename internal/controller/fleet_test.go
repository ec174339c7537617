package controller

import (
	"container/heap"
	"fmt"

	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// fleet simulates a pilot with the production planner and a number of proxies in virtual time. Messages and acks take a
// fixed delay in each direction. No requests are served.
type fleet struct {
	core      *Core
	nowMs     float64
	delayMs   float64
	dropAcks  bool // acks from proxies are lost
	scheduled callQueue
	proxies   []*fleetProxy
}

// fleetProxy is a simulated proxy and its stream.
type fleetProxy struct {
	fleet  *fleet
	name   string
	zone   string
	router *routing.Router
}

func (p *fleetProxy) Close(string) {}

func (p *fleetProxy) RequestPace(*wire.Pace) error { return nil }

func (p *fleetProxy) Send(m *wire.Commands) error {
	p.fleet.schedule(p.fleet.delayMs, func() {
		for _, n := range p.router.Apply(m.Ops) {
			p.fleet.schedule(p.fleet.delayMs, func() {
				if !p.fleet.dropAcks {
					p.fleet.handle(Acked{p, wire.Done{Mark: n, TookMs: 2 * p.fleet.delayMs}})
				}
			})
		}
	})
	return nil
}

// scheduledCall is a function to be called at a virtual time, in ms. Calls at the same time are ordered by number.
type scheduledCall struct {
	atMs   float64
	number int
	run    func()
}

// callQueue is a heap of calls ordered by time and number.
type callQueue []scheduledCall

func (l callQueue) Len() int      { return len(l) }
func (l callQueue) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *callQueue) Push(x any) {
	call, _ := x.(scheduledCall)
	*l = append(*l, call)
}

func (l callQueue) Less(i, j int) bool {
	return l[i].atMs < l[j].atMs || l[i].atMs == l[j].atMs && l[i].number < l[j].number
}

func (l *callQueue) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// schedule schedules a call in ms milliseconds from now.
func (f *fleet) schedule(ms float64, run func()) {
	heap.Push(&f.scheduled, scheduledCall{f.nowMs + ms, len(f.scheduled) + int(f.nowMs*1e3), run})
}

// handle runs one turn of the core with the given inputs.
func (f *fleet) handle(in ...Input) { f.core.Handle(f.nowMs, in) }

// advanceTo advances the virtual time to ms and runs everything that is due until then.
func (f *fleet) advanceTo(ms float64) {
	for {
		next := min(f.core.Due(), f.core.Channel.Due())
		if len(f.scheduled) > 0 {
			next = min(next, f.scheduled[0].atMs)
		}
		if next > ms {
			f.nowMs = ms
			return
		}
		f.nowMs = max(f.nowMs, next)
		for len(f.scheduled) > 0 && f.scheduled[0].atMs <= f.nowMs {
			call, _ := heap.Pop(&f.scheduled).(scheduledCall)
			call.run()
		}
		if f.core.Due() <= f.nowMs {
			f.handle()
		}
		f.core.Channel.Send(f.nowMs)
	}
}

// newFleet returns a fleet whose proxies have not joined yet, and its endpoint list. pace is the channel's rate in
// lines per second, backlog its limit in lines, and grace the drain grace period in ms. Each change function may modify
// the planner's settings.
func newFleet(endpoints, proxies int, pace, backlog, grace float64, change ...func(settings map[string]any)) (
	*fleet, []wire.Entry,
) {
	zones := []string{"a", "b", "c"}
	settings := map[string]any{
		"req_kinds": []any{map[string]any{"name": "read"}}, "proxy_count": float64(proxies),
		"instances": 2.0, "lines_per_s": pace, "backlog": backlog, "head_lines": 3.0, "drain_grace": grace,
		"messages_most": 30.0, "messages_over": 10000.0, "ejects_after": 5.0, "fields": []any{"util"}, "admission": "share",
	}
	for _, c := range change {
		c(settings)
	}
	f := &fleet{delayMs: 275}
	f.core = NewCore(Options{
		Decider:         planner.New(1, settings),
		Settings:        settings,
		Zones:           zones,
		Machines:        []string{"std"},
		Classes:         []string{"read"},
		LinesPerS:       pace,
		Backlog:         backlog,
		MessageOverhead: 3,
		MaxMessages:     30,
		MessageWindowMs: 10000,
		Telemetry:       telemetry.Options{PeriodMs: 1000, HalfLifeMs: 5000, MaxAgeMs: 60000},
		MaxProxies:      1 << 16,
		EndpointSource:  &fakeTransport{},
		HealthChecker:   &fakeTransport{},
		Gossip:          &fakeTransport{},
		Log:             func(string) {},
		Malformed:       func(string, ...string) {},
	})
	var entries []wire.Entry
	for i := range endpoints {
		entries = append(entries, wire.Entry{Endpoint: fmt.Sprint("e", i), Zone: zones[i%3], Machine: "std", Weight: 1})
	}
	f.handle(listed(true, entries...))
	for i := range proxies {
		p := &fleetProxy{fleet: f, name: fmt.Sprint("p", i), zone: zones[i%3]}
		f.proxies = append(f.proxies, p)
	}
	return f, entries
}

// join lets proxies join. Each holds all given endpoints of its zone, as if its previous pilot had died.
func (f *fleet) join(proxies []*fleetProxy, entries []wire.Entry) {
	for _, p := range proxies {
		var holds []string
		for _, e := range entries {
			if e.Zone == p.zone {
				holds = append(holds, e.Endpoint)
			}
		}
		p.router = routing.NewRouter(routing.Policy{Classes: []string{"read"}}, holds, 1)
		p.router.StreamJoined()
		f.handle(ProxyJoined{p, wire.Hello{Proxy: p.name, Zone: p.zone, Rate: 2, Holds: holds}})
	}
}

// longestHeldMs returns the longest time in ms for which a proxy has held a draining endpoint. The time counts from the
// start of the drain (drainedAt, by endpoint) or from when the proxy joined (joinedAt, by proxy), whichever is later.
// It is 0 if no proxy holds a draining endpoint.
func (f *fleet) longestHeldMs(drainedAt, joinedAt map[string]float64) (ms float64) {
	for _, p := range f.proxies {
		for name, at := range drainedAt {
			if p.router != nil && p.router.Eligible(0, name) {
				ms = max(ms, f.nowMs-max(at, joinedAt[p.name]))
			}
		}
	}
	return ms
}
