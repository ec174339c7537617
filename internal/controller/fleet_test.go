package controller

import (
	"container/heap"
	"fmt"

	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// fleet drives a core with the decider inside and proxies that follow its commands around it, in virtual time: messages
// and answers take a fixed delay each way, and no requests are served.
type fleet struct {
	core      *Core
	nowMs     float64
	delayMs   float64
	dropAcks  bool // acknowledgements are lost on their way to the pilot
	scheduled callQueue
	proxies   []*fleetProxy
}

// fleetProxy is a proxy of the fleet and its stream.
type fleetProxy struct {
	fleet  *fleet
	name   string
	zone   string
	router *routing.Router
}

func (p *fleetProxy) Close(string) {}

func (p *fleetProxy) Ask(*wire.Pace) error { return nil }

func (p *fleetProxy) Send(m *wire.Orders) error {
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

// scheduledCall is a function that is due at a virtual time; number orders those of one time.
type scheduledCall struct {
	atMs   float64
	number int
	run    func()
}

// callQueue is a heap of calls by time, then in order of scheduling.
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

// after schedules a call so many milliseconds from now.
func (f *fleet) schedule(ms float64, run func()) {
	heap.Push(&f.scheduled, scheduledCall{f.nowMs + ms, len(f.scheduled) + int(f.nowMs*1e3), run})
}

// handle runs one turn of the core with the given inputs.
func (f *fleet) handle(in ...Input) { f.core.Handle(f.nowMs, in) }

// until lets virtual time pass to a moment, in ms.
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

// newFleet returns a fleet of many endpoints with a pilot that no proxy has joined. pace is in lines a second,
// backlog in lines, grace in ms; change may alter the decider's settings.
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
		Decider:        planner.New(1, settings),
		Settings:       settings,
		Zones:          zones,
		Machines:       []string{"std"},
		Classes:        []string{"read"},
		LinesPerS:      pace,
		Backlog:        backlog,
		HeadLines:      3,
		MaxMessages:    30,
		MessagesOverMs: 10000,
		Telemetry:      telemetry.Options{PeriodMs: 1000, HalfMs: 5000, LongestMs: 60000},
		MaxProxies:     1 << 16,
		EndpointSource: &fakeTransport{},
		HealthChecker:  &fakeTransport{},
		Gossip:         &fakeTransport{},
		Log:            func(string) {},
		Malformed:      func(string, ...string) {},
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

// join lets some of the proxies in, each holding all endpoints of its zone, as from a pilot that died.
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

// longestHeldMs returns how long a proxy that has joined has held anything that was told to drain, from when that was
// told or, if later, the proxy joined.
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
