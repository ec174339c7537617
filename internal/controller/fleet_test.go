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
	core     *Core
	now      float64
	delayMs  float64
	dropAcks bool // acknowledgements are lost on their way to the pilot
	calls    callQueue
	streams  []*fleetProxy
}

// fleetProxy is a proxy of the fleet and its stream.
type fleetProxy struct {
	fleet  *fleet
	name   string
	zone   string
	follow *routing.Router
}

func (v *fleetProxy) Close(string) {}

func (v *fleetProxy) Ask(*wire.Pace) error { return nil }

func (v *fleetProxy) Send(m *wire.Commands) error {
	v.fleet.after(v.fleet.delayMs, func() {
		for _, n := range v.follow.Apply(m.Ops) {
			v.fleet.after(v.fleet.delayMs, func() {
				if !v.fleet.dropAcks {
					v.fleet.handle(Acked{v, wire.Done{Mark: n, TookMs: 2 * v.fleet.delayMs}})
				}
			})
		}
	})
	return nil
}

// scheduledCall is a function that is due at a virtual time; number orders those of one time.
type scheduledCall struct {
	at     float64
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
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].number < l[j].number
}

func (l *callQueue) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

// after schedules a call so many milliseconds from now.
func (f *fleet) after(ms float64, run func()) {
	heap.Push(&f.calls, scheduledCall{f.now + ms, len(f.calls) + int(f.now*1e3), run})
}

// handle runs one turn of the core with the given inputs.
func (f *fleet) handle(in ...Input) { f.core.Handle(f.now, in) }

// until lets virtual time pass to a moment, in ms.
func (f *fleet) until(ms float64) {
	for {
		next := min(f.core.Due(), f.core.Channel.Due())
		if len(f.calls) > 0 {
			next = min(next, f.calls[0].at)
		}
		if next > ms {
			f.now = ms
			return
		}
		f.now = max(f.now, next)
		for len(f.calls) > 0 && f.calls[0].at <= f.now {
			call, _ := heap.Pop(&f.calls).(scheduledCall)
			call.run()
		}
		if f.core.Due() <= f.now {
			f.handle()
		}
		f.core.Channel.Send(f.now)
	}
}

// newFleet returns a fleet of many endpoints with a pilot that no proxy has joined. pace is in lines a second,
// backlog in lines, grace in ms; change may alter the decider's settings.
func newFleet(endpoints, proxies int, pace, backlog, grace float64, change ...func(terms map[string]any)) (
	*fleet, []wire.Entry,
) {
	zones := []string{"a", "b", "c"}
	terms := map[string]any{
		"req_kinds": []any{map[string]any{"name": "read"}}, "proxy_count": float64(proxies),
		"instances": 2.0, "lines_per_s": pace, "backlog": backlog, "head_lines": 3.0, "drain_grace": grace,
		"messages_most": 30.0, "messages_over": 10000.0, "ejects_after": 5.0, "fields": []any{"util"}, "admission": "share",
	}
	for _, c := range change {
		c(terms)
	}
	f := &fleet{delayMs: 275}
	f.core = NewCore(Options{
		Decider:        planner.New(1, terms),
		Settings:       terms,
		Zones:          zones,
		Machines:       []string{"std"},
		Classes:        []string{"read"},
		LinesPerS:      pace,
		Backlog:        backlog,
		HeadLines:      3,
		MaxMessages:    30,
		MessagesOverMs: 10000,
		Telemetry:      telemetry.Options{PeriodMs: 1000, HalfLifeMs: 5000, MaxAgeMs: 60000},
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
		v := &fleetProxy{fleet: f, name: fmt.Sprint("p", i), zone: zones[i%3]}
		f.streams = append(f.streams, v)
	}
	return f, entries
}

// join lets some of the proxies in, each holding all endpoints of its zone, as from a pilot that died.
func (f *fleet) join(some []*fleetProxy, entries []wire.Entry) {
	for _, v := range some {
		var holds []string
		for _, e := range entries {
			if e.Zone == v.zone {
				holds = append(holds, e.Endpoint)
			}
		}
		v.follow = routing.NewRouter(routing.Policy{Classes: []string{"read"}}, holds, 1)
		v.follow.StreamJoined()
		f.handle(ProxyJoined{v, wire.Hello{Proxy: v.name, Zone: v.zone, Rate: 2, Holds: holds}})
	}
}

// longestHeldMs returns how long a proxy that has joined has held anything that was told to drain, from when that was
// told or, if later, the proxy joined.
func (f *fleet) longestHeldMs(told, joined map[string]float64) (ms float64) {
	for _, v := range f.streams {
		for name, at := range told {
			if v.follow != nil && v.follow.Eligible(0, name) {
				ms = max(ms, f.now-max(at, joined[v.name]))
			}
		}
	}
	return ms
}
