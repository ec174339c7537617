package pilot

import (
	"container/heap"
	"fmt"

	"indigousher/brain"
	"indigousher/intake"
	"indigousher/internal/standin/follow"
	"indigousher/internal/wire"
)

// town drives a core with the module inside and following proxies around it, in virtual time: messages and answers
// take a fixed way, nothing is served.
type town struct {
	core    *Core
	now     float64
	late    float64
	deaf    bool // answers to marks are lost on their way to the pilot
	coming  later
	streams []*villager
}

// villager is a proxy of the town and its stream.
type villager struct {
	t      *town
	name   string
	zone   string
	follow *follow.Follower
}

func (v *villager) Close(string) {}

func (v *villager) Ask(*wire.Pace) error { return nil }

func (v *villager) Send(m *wire.Orders) error {
	v.t.after(v.t.late, func() {
		for _, n := range v.follow.Apply(m.Ops) {
			v.t.after(v.t.late, func() {
				if !v.t.deaf {
					v.t.handle(Applied{v, wire.Done{Mark: n, TookMs: 2 * v.t.late}})
				}
			})
		}
	})
	return nil
}

type deed struct {
	at     float64
	number int
	do     func()
}

// later is a heap of deeds by time, then in order.
type later []deed

func (l later) Len() int      { return len(l) }
func (l later) Swap(i, j int) { l[i], l[j] = l[j], l[i] }
func (l *later) Push(x any)   { *l = append(*l, x.(deed)) }
func (l later) Less(i, j int) bool {
	return l[i].at < l[j].at || l[i].at == l[j].at && l[i].number < l[j].number
}
func (l *later) Pop() any {
	x := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return x
}

func (t *town) after(ms float64, do func()) {
	heap.Push(&t.coming, deed{t.now + ms, len(t.coming) + int(t.now*1e3), do})
}

func (t *town) handle(in ...Input) { t.core.Handle(t.now, in) }

// until lets time pass.
func (t *town) until(ms float64) {
	for {
		next := min(t.core.Due(), t.core.Channel.Due())
		if len(t.coming) > 0 {
			next = min(next, t.coming[0].at)
		}
		if next > ms {
			t.now = ms
			return
		}
		t.now = max(t.now, next)
		for len(t.coming) > 0 && t.coming[0].at <= t.now {
			heap.Pop(&t.coming).(deed).do()
		}
		if t.core.Due() <= t.now {
			t.handle()
		}
		t.core.Channel.Send(t.now)
	}
}

// newTown makes one of many endpoints and a pilot that nobody has joined.
func newTown(endpoints, proxies int, pace, backlog, grace float64, change ...func(terms map[string]any)) (*town, []wire.Entry) {
	zones := []string{"a", "b", "c"}
	terms := map[string]any{"req_kinds": []any{map[string]any{"name": "read"}}, "proxy_count": float64(proxies),
		"instances": 2.0, "lines_per_s": pace, "backlog": backlog, "head_lines": 3.0, "drain_grace": grace,
		"messages_most": 30.0, "messages_over": 10000.0, "ejects_after": 5.0, "fields": []any{"util"}, "admission": "share"}
	for _, c := range change {
		c(terms)
	}
	t := &town{late: 275}
	t.core = NewCore(Plan{Decider: brain.New(1, terms), Terms: terms, Zones: zones, Machines: []string{"std"},
		Kinds: []string{"read"}, LinesPerS: pace, Backlog: backlog, HeadLines: 3, MessagesMost: 30, MessagesOverMs: 10000,
		Intake: intake.Terms{PeriodMs: 1000, HalfMs: 5000, LongestMs: 60000}, MostProxies: 1 << 16, List: &fake{}, Prober: &fake{}, Peers: &fake{}, Log: func(string) {},
		Odd: func(string, ...string) {}})
	var entries []wire.Entry
	for i := range endpoints {
		entries = append(entries, wire.Entry{Endpoint: fmt.Sprint("e", i), Zone: zones[i%3], Machine: "std", Weight: 1})
	}
	t.handle(listed(true, entries...))
	for i := range proxies {
		v := &villager{t: t, name: fmt.Sprint("p", i), zone: zones[i%3]}
		t.streams = append(t.streams, v)
	}
	return t, entries
}

// join lets some of the proxies in, each holding all endpoints of its zone, as from a pilot that died.
func (t *town) join(some []*villager, entries []wire.Entry) {
	for _, v := range some {
		var holds []string
		for _, e := range entries {
			if e.Zone == v.zone {
				holds = append(holds, e.Endpoint)
			}
		}
		v.follow = follow.NewFollower(follow.Habits{Kinds: []string{"read"}}, holds, 1)
		v.follow.Joined()
		t.handle(Join{v, wire.Hello{Proxy: v.name, Zone: v.zone, Rate: 2, Holds: holds}})
	}
}

// longest returns how long a proxy that has joined has held anything that was told to drain, from when that was told or,
// if later, the proxy joined.
func (t *town) longest(told, joined map[string]float64) (ms float64) {
	for _, v := range t.streams {
		for name, at := range told {
			if v.follow != nil && v.follow.Open(0, name) {
				ms = max(ms, t.now-max(at, joined[v.name]))
			}
		}
	}
	return ms
}
