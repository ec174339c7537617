package controller

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// script orders what a test wants and keeps what it is told.
type script struct {
	orders [][]planner.Command
	notes  []planner.Event
	times  []float64
}

func (s *script) Handle(nowMs float64, notes []planner.Event) []planner.Command {
	s.notes, s.times = append(s.notes, notes...), append(s.times, nowMs)
	if len(s.orders) == 0 {
		return nil
	}
	o := s.orders[0]
	s.orders = s.orders[1:]
	return o
}

// Reconfigure keeps nothing: what the settings hold is looked at in the plan.
func (s *script) Reconfigure(map[string]any) {}

// fake stands for a proxy's stream, the list, the prober and the peers.
type fake struct {
	sent   []*wire.Orders
	closed string
	calls  []string
	full   bool
}

func (f *fake) Send(m *wire.Orders) error {
	if f.full {
		return errors.New("full")
	}
	f.sent = append(f.sent, m)
	return nil
}
func (f *fake) Ask(m *wire.Pace) error {
	f.calls = append(f.calls, fmt.Sprint("pace ", m.PeriodMs))
	return nil
}
func (f *fake) Close(reason string)   { f.closed = reason }
func (f *fake) Watch(on bool)         { f.calls = append(f.calls, fmt.Sprint("watch ", on)) }
func (f *fake) Fetch()                { f.calls = append(f.calls, "fetch") }
func (f *fake) Probe(endpoint string) { f.calls = append(f.calls, "probe "+endpoint) }
func (f *fake) Tell(peer int, text string) {
	f.calls = append(f.calls, fmt.Sprint("tell ", peer, " ", text))
}

func plan(d Decider, edge *fake) Options {
	return Options{Decider: d, Settings: map[string]any{"slices": 16.0}, Zones: []string{"a", "b"}, Machines: []string{"std"},
		Classes: []string{"read", "book"}, HeadLines: 4, Telemetry: telemetry.Options{PeriodMs: 1000, HalfMs: 1e9, LongestMs: 60000}, MaxProxies: 3, MessagesOverMs: 10000, EndpointSource: edge,
		HealthChecker: edge, Gossip: edge, Log: func(t string) { edge.calls = append(edge.calls, "log "+t) },
		Malformed: func(what string, _ ...string) { edge.calls = append(edge.calls, "odd "+what) }}
}

func hello(name, zone string, holds ...string) wire.Hello {
	return wire.Hello{Version: 1, Proxy: name, Zone: zone, Rate: 2, Fresh: true, Holds: holds}
}

func listed(whole bool, entries ...wire.Entry) EndpointsListed {
	return EndpointsListed{List: &wire.List{Version: 7, Now: 5000, Whole: whole, Entries: entries}}
}

func entry(name string, started uint64) wire.Entry {
	return wire.Entry{Endpoint: name, Zone: "b", Machine: "std", Weight: 2, Started: started}
}

// TestNotes shows that every note of the module's interface has a source.
func TestNotes(t *testing.T) {
	d, edge, stream := &script{orders: [][]planner.Command{{planner.SetTimer{AtMs: 150, Name: "bell"}}, nil, {planner.AckRequest{Number: 9, All: true}}}}, &fake{}, &fake{}
	c := NewCore(plan(d, edge))
	c.Handle(0, nil)
	c.Handle(100, []Input{listed(true, entry("x", 0), entry("y", 4000)), ProxyJoined{stream, hello("p", "b")}})
	c.Handle(160, nil)
	c.Handle(1200, []Input{
		listed(false, entry("y", 4000)), EndpointListLost{}, GossipReceived{3, "hi"}, Acked{stream, wire.Done{Mark: 9, TookMs: 2}}, Acked{stream, wire.Done{Mark: 9}}, Acked{stream, wire.Done{Mark: 8}},
		HealthChecked{"x", "ok", 5, []wire.Figure{{Name: "util", Value: 0.5}}},
		LoadReported{stream, &wire.Sums{Seq: 1, SpanMs: 500, Met: []wire.Met{{Endpoint: "x", Tries: 4, Failed: 1, MeanMs: 20},
			{Endpoint: "never listed", Tries: 1}}, Demand: []wire.Demand{{Kind: "book", Reqs: 5, Unanswered: 1}}}}})
	c.Handle(2300, []Input{ProxyLeft{stream}, ProxyLeft{stream}})
	assert.Equal(t, []planner.Event{
		planner.EndpointUpdate{Mode: planner.Snapshot, Version: 7, Entries: []planner.Entry{{Endpoint: 0, Zone: 1, Weight: 2},
			{Endpoint: 1, Zone: 1, Weight: 2, Started: -900}}},
		planner.ProxyJoined{Proxy: 0, Zone: 1, Rate: 2, Fresh: true},
		planner.TimerFired{Name: "bell"},
		planner.EndpointUpdate{Mode: planner.Delta, Version: 7, Entries: []planner.Entry{{Endpoint: 1, Zone: 1, Weight: 2, Started: -900}}},
		planner.EndpointUpdate{Mode: planner.UpdateFailed},
		planner.Gossip{From: 3, Text: "hi"},
		planner.Ack{Proxy: 0, Number: 9, TookMs: 2},
		planner.HealthCheckResult{Endpoint: 0, OK: true, Outcome: "ok", TookMs: 5, Load: planner.Load{"util": 0.5}},
		planner.EndpointStats{Endpoint: 0, Zone: 1, Attempts: 4, Failed: 1, MeanMs: 20, SpanMs: 500},
		planner.RequestStats{Proxy: 0, Class: 1, Requests: 5, Unanswered: 1, SpanMs: 500},
		planner.ProxyLeft{Proxy: 0},
	}, d.notes)
	assert.Equal(t, []string{"odd sums of an unknown endpoint"}, edge.calls)
}

// TestOrders shows what each order amounts to at a proxy or an edge.
func TestOrders(t *testing.T) {
	set := func(e int, w float64) planner.Command { return planner.SetWeight{Table: 5, Endpoint: e, Weight: w} }
	setOp := func(e string, w float64) wire.Op {
		return wire.Op{Kind: wire.OpSet, Table: 5, Endpoint: e, Weight: w}
	}
	bindOp := wire.Op{Kind: wire.OpBind, Table: 5, Kinds: 3}
	out := func(e string) wire.Op { return wire.Op{Kind: wire.OpWithdraw, Endpoint: e, Out: true} }
	bind := planner.AssignTable{Table: 5, Proxy: 0}
	for _, c := range []struct {
		name   string
		orders []planner.Command
		want   []wire.Op
		calls  []string
	}{
		{"a table that nobody uses", []planner.Command{set(0, 1)}, nil, nil},
		{"a bind sends the whole table", []planner.Command{set(1, 2), set(0, 1), bind}, []wire.Op{bindOp, setOp("x", 1), setOp("y", 2)}, nil},
		{"a line after a bind", []planner.Command{bind, set(0, 1)}, []wire.Op{bindOp, setOp("x", 1)}, nil},
		{"a line that goes", []planner.Command{set(0, 1), bind, set(0, 0)}, []wire.Op{bindOp, setOp("x", 1), setOp("x", 0)}, nil},
		{"a bind tells what is shut out", []planner.Command{set(1, 1), planner.SetExcluded{Endpoint: 1, Excluded: true}, bind},
			[]wire.Op{bindOp, setOp("y", 1), out("y")}, nil},
		{"a line of what is shut out", []planner.Command{bind, planner.SetExcluded{Endpoint: 1, Excluded: true}, set(1, 1)},
			[]wire.Op{bindOp, setOp("y", 1), out("y")}, nil},
		{"withdrawn where the standing table holds it", []planner.Command{planner.SetExcluded{Endpoint: 0, Excluded: true}}, []wire.Op{out("x")}, nil},
		{"withdrawn where nobody holds it", []planner.Command{planner.SetExcluded{Endpoint: 1, Excluded: true}}, nil, nil},
		{"a table cleared", []planner.Command{set(0, 1), bind, planner.ClearTable{Table: 5}, planner.SetExcluded{Endpoint: 0, Excluded: true}},
			[]wire.Op{bindOp, setOp("x", 1), {Kind: wire.OpClear, Table: 5}}, nil},
		{"levels", []planner.Command{planner.SetAdmission{Table: 5, Classes: 1, Level: 0.5, RetryMode: 1}, bind},
			[]wire.Op{bindOp, {Kind: wire.OpAdmit, Table: 5, Kinds: 1, Weight: 0.5, Again: 1}}, nil},
		{"levels for all", []planner.Command{planner.SetAdmission{Table: planner.EveryTable, Classes: 1, Level: 0.5}},
			[]wire.Op{{Kind: wire.OpAdmit, Table: planner.EveryTable, Kinds: 1, Weight: 0.5}}, nil},
		{"a mark goes with a message", []planner.Command{planner.SetExcluded{Endpoint: 0, Excluded: true}, planner.AckRequest{Number: 4}},
			[]wire.Op{out("x"), {Kind: wire.OpMark, Number: 4}}, nil},
		{"a mark without a message", []planner.Command{planner.AckRequest{Number: 4}}, nil, nil},
		{"a mark for all", []planner.Command{planner.AckRequest{Number: 4, All: true}}, []wire.Op{{Kind: wire.OpMark, Number: 4}}, nil},
		{"the edges", []planner.Command{planner.HealthCheck{Endpoint: 1}, planner.SendGossip{Peer: -1, Text: "t"}, planner.WatchEndpoints{On: true},
			planner.FetchEndpoints{}, planner.Log{Text: "l"}}, nil, []string{"probe y", "tell -1 t", "watch true", "fetch", "log l"}},
		{"a proxy that is not joined", []planner.Command{planner.AssignTable{Table: 5, Proxy: 2}}, nil,
			[]string{"odd bind of a proxy that has left"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, edge, stream := &script{orders: [][]planner.Command{nil, c.orders}}, &fake{}, &fake{}
			core := NewCore(plan(d, edge))
			core.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0))})
			core.Handle(1, []Input{ProxyJoined{stream, hello("p", "a", "x", "unknown")}})
			lines := core.Channel.Send(1)
			var ops []wire.Op
			for _, m := range stream.sent {
				ops = append(ops, m.Ops...)
				assert.Equal(t, len(m.Ops)+4, m.Lines)
				assert.Equal(t, lines, m.Lines, "one message for each proxy")
			}
			assert.Equal(t, c.want, ops)
			assert.Equal(t, c.calls, edge.calls)
		})
	}
}

// TestSlices shows the notes on slices: a charge with its stored lines, demand for it once a period, and neither for one
// that is not in this pilot's charge.
func TestSlices(t *testing.T) {
	d, edge, stream := &script{}, &fake{}, &fake{}
	c := NewCore(plan(d, edge))
	c.Handle(0, []Input{listed(true, entry("x", 0)), ProxyJoined{stream, hello("p", "a")}})
	d.notes = nil
	load := func(seq uint64) LoadReported {
		return LoadReported{stream, &wire.Sums{Seq: seq, SpanMs: 500, Slices: []wire.SliceLoad{{Slice: 7, Kind: "book", Reqs: 5, Unanswered: 1},
			{Slice: 8, Kind: "book", Reqs: 1}}}}
	}
	c.Handle(100, []Input{SliceAssigned{&wire.Slices{Slice: 7, Given: true, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 2}, {Endpoint: "none"}}}}})
	c.Handle(200, []Input{load(1)})
	c.Handle(300, []Input{load(2)})
	c.Handle(1100, nil)
	c.Handle(1200, []Input{SliceAssigned{&wire.Slices{Slice: 7}}, load(3)})
	c.Handle(2300, nil)
	assert.Equal(t, []planner.Event{planner.SliceAssignment{Slice: 7, Assigned: true}, planner.SliceWeight{Slice: 7, Endpoint: 0, Weight: 2},
		planner.SliceStats{Slice: 7, Class: 1, Requests: 10, Unanswered: 2, SpanMs: 1100}, planner.SliceAssignment{Slice: 7}}, d.notes)
}

// TestWithdrawnAtAll guards a withdrawal against passing over any of the proxies that hold the endpoint: by a table of this
// pilot's, by what they held when they joined, or by both.
func TestWithdrawnAtAll(t *testing.T) {
	bind := func(proxy int) planner.Command { return planner.AssignTable{Table: 5, Proxy: proxy, Classes: 1} }
	d := &script{orders: [][]planner.Command{nil, nil, {planner.SetWeight{Table: 5, Endpoint: 0, Weight: 1}, bind(0), bind(1)},
		{planner.SetExcluded{Endpoint: 0, Excluded: true}}, {planner.SetExcluded{Endpoint: 0}}}}
	p := plan(d, &fake{})
	p.MaxProxies = 5
	c := NewCore(p)
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0))})
	var streams []*fake
	var joins []Input
	for i, holds := range [][]string{{"x"}, {"y"}, {"x", "y"}, {"y"}, {"x"}} {
		streams = append(streams, &fake{})
		joins = append(joins, ProxyJoined{streams[i], hello(fmt.Sprint("p", i), "a", holds...)})
	}
	c.Handle(1, joins)
	for step, out := range []bool{false, true, false} {
		c.Handle(float64(2+step), []Input{GossipReceived{1, "next"}})
		c.Channel.Send(float64(2 + step))
		for i, s := range streams {
			told := 0
			for _, m := range s.sent {
				for _, op := range m.Ops {
					if op.Kind == wire.OpWithdraw && op.Endpoint == "x" && op.Out == out {
						told++
					}
				}
			}
			s.sent = nil
			assert.Equal(t, step > 0 && i != 3, told == 1, "proxy %d at step %d", i, step)
		}
	}
}

// TestUnjoinedReports guards a proxy's sums against reports on streams that have not joined, or no longer are: they count for
// nobody, least of all for the proxy with the first number.
func TestUnjoinedReports(t *testing.T) {
	d, joined, left := &script{}, &fake{}, &fake{}
	c := NewCore(plan(d, &fake{}))
	c.Handle(0, []Input{listed(true, entry("x", 0)), ProxyJoined{joined, hello("p", "a")}, ProxyJoined{left, hello("q", "a")}})
	c.Handle(1, []Input{ProxyLeft{left}})
	for i, s := range []Stream{&fake{}, left} {
		c.Handle(float64(100+i), []Input{LoadReported{s, &wire.Sums{Seq: 1, SpanMs: 500, Met: []wire.Met{{Endpoint: "x", Tries: 4}},
			Demand: []wire.Demand{{Kind: "book", Reqs: 5}}}}})
	}
	c.Handle(2200, nil)
	for _, n := range d.notes {
		switch n.(type) {
		case planner.EndpointStats, planner.RequestStats:
			t.Errorf("%+v", n)
		}
	}
}

// TestHeld guards a return, to this pilot or another, before or after a crash: of a table that the proxy has only what
// differs is sent.
func TestHeld(t *testing.T) {
	d, edge, stream := &script{orders: [][]planner.Command{nil, {planner.SetWeight{Table: 5, Endpoint: 0, Weight: 1},
		planner.SetWeight{Table: 5, Endpoint: 1, Weight: 2}, planner.AssignTable{Table: 5, Proxy: 0}, planner.AssignTable{Table: 5, Proxy: 0}}}}, &fake{}, &fake{}
	c := NewCore(plan(d, edge))
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0))})
	h := hello("p", "a", "x")
	h.Tables = []wire.HeldTable{{Table: 5, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 1}, {Endpoint: "gone", Weight: 3}}}}
	c.Handle(1, []Input{ProxyJoined{stream, h}})
	c.Channel.Send(1)
	require.Len(t, stream.sent, 1)
	set := func(e string, w float64) wire.Op { return wire.Op{Kind: wire.OpSet, Table: 5, Endpoint: e, Weight: w} }
	assert.Equal(t, []wire.Op{{Kind: wire.OpBind, Table: 5, Kinds: 3, Keep: true}, set("y", 2), set("gone", 0),
		{Kind: wire.OpBind, Table: 5, Kinds: 3}, set("x", 1), set("y", 2)}, stream.sent[0].Ops)
}

// TestNames guards against a proxy that comes back while its old stream hangs, names without end, and strangers.
func TestNames(t *testing.T) {
	d, edge := &script{}, &fake{}
	c := NewCore(plan(d, edge))
	first, second := &fake{}, &fake{}
	c.Handle(0, []Input{ProxyJoined{first, hello("p", "a")}})
	c.Handle(1, []Input{ProxyJoined{second, hello("p", "a")}})
	assert.NotEmpty(t, first.closed)
	c.Handle(2, []Input{ProxyLeft{first}, Acked{first, wire.Done{Mark: 1}}}) // of no stream that lives
	assert.Len(t, c.sessions, 1)
	assert.Equal(t, []planner.Event{planner.ProxyJoined{Rate: 2, Fresh: true}, planner.ProxyLeft{}, planner.ProxyJoined{Rate: 2, Fresh: true}}, d.notes)
	stranger := &fake{}
	c.Handle(3, []Input{ProxyJoined{stranger, hello("q", "nowhere")}})
	assert.Equal(t, "unknown zone", stranger.closed)
	for i := range 4 {
		c.Handle(4, []Input{ProxyJoined{&fake{}, hello(fmt.Sprint("r", i), "a")}})
	}
	assert.Len(t, c.sessions, 3)
}

// TestRestamped guards the start of an endpoint against jitter of the list's clock, which would look like a restart.
func TestRestamped(t *testing.T) {
	d := &script{}
	c := NewCore(plan(d, &fake{}))
	for i, at := range []uint64{5000, 6003, 9100} {
		c.Handle(float64(i*1000), []Input{EndpointsListed{List: &wire.List{Now: at, Entries: []wire.Entry{entry("x", 4000)}}}})
	}
	c.Handle(9000, []Input{EndpointsListed{List: &wire.List{Now: 9200, Entries: []wire.Entry{entry("x", 9100)}}}})
	var starts []float64
	for _, n := range d.notes {
		starts = append(starts, n.(planner.EndpointUpdate).Entries[0].Started)
	}
	assert.Equal(t, []float64{-1000, -1000, -1000, 8900}, starts)
}

// TestReportLines guards the bound of report lines: what does not fit adds up; what begins to fail goes first, then
// what has waited longest.
func TestReportLines(t *testing.T) {
	d, stream := &script{}, &fake{}
	p := plan(d, &fake{})
	p.Telemetry.ToldPerS = 1
	c := NewCore(p)
	c.Handle(0, []Input{listed(true, entry("x", 0), entry("y", 0)), ProxyJoined{stream, hello("p", "a")}})
	report := func(at float64, seq uint64) {
		c.Handle(at, []Input{LoadReported{stream, &wire.Sums{Seq: seq, AtMs: at, SpanMs: 100, Met: []wire.Met{{Endpoint: "x", Tries: 1, MeanMs: 10},
			{Endpoint: "y", Tries: 2, Failed: 2}}}}})
	}
	d.notes = nil
	for i, at := range []float64{100, 200, 1150, 2200} {
		report(at, uint64(i+1))
	}
	var tries []int
	for _, n := range d.notes {
		tries = append(tries, n.(planner.EndpointStats).Attempts)
	}
	assert.Equal(t, []int{6, 4}, tries)
}

// TestPace guards the channel's pace and order, and that what waits for a proxy which has left is forgotten.
func TestPace(t *testing.T) {
	c := NewChannel(1000, 400, 0, 10000, nil)
	a, b := &fake{}, &fake{}
	sa, sb := &session{stream: a}, &session{stream: b}
	for i := range 10 {
		c.Enqueue(0, sa, &wire.Orders{Lines: 20, AtMs: float64(i)})
	}
	c.Enqueue(0, sb, &wire.Orders{Lines: 50})
	assert.Equal(t, 250, c.Lines())
	c.Send(100)
	assert.InDelta(t, 5, len(a.sent), 1)
	c.Drop(sa)
	assert.Equal(t, 50, c.Lines())
	assert.Less(t, c.Due(), 260.0)
	c.Send(260)
	assert.Len(t, b.sent, 1)
	assert.InDelta(t, 260, b.sent[0].AgeMs, 1)
	assert.True(t, math.IsInf(c.Due(), 1))
	for range 200 {
		c.Enqueue(300, sb, &wire.Orders{Lines: 20})
	}
	assert.LessOrEqual(t, c.Lines(), overfull*400)
	assert.Equal(t, "channel overfull", b.closed)
	full := &fake{full: true}
	c = NewChannel(0, 0, 0, 10000, nil)
	c.Enqueue(0, &session{stream: full}, &wire.Orders{Lines: 1})
	c.Send(0)
	assert.Equal(t, "full", full.closed)
}

// TestSameOrders shows that the same inputs at the same times give the same messages, with the module inside.
func TestSameOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 60).Draw(rt, "steps")
		play := func() (all []string) {
			terms := map[string]any{"req_kinds": []any{map[string]any{"name": "read"}, map[string]any{"name": "book"}}}
			edge := &fake{}
			c := NewCore(plan(planner.New(1, terms), edge))
			streams := []*fake{{}, {}, {}}
			for i, s := range steps {
				now := float64(i) * 170
				stream := streams[i%3]
				in := []Input{listed(i == 0, entry("x", 0), entry(fmt.Sprint("y", i%4), uint64(i%2)*4000))}
				switch s {
				case 1:
					in = []Input{ProxyJoined{stream, hello(fmt.Sprint("p", i%3), []string{"a", "b"}[i%2], "x")}}
				case 2:
					in = []Input{ProxyLeft{stream}}
				case 3:
					in = []Input{LoadReported{stream, &wire.Sums{Seq: uint64(i + 1), AtMs: now, SpanMs: 200,
						Met: []wire.Met{{Endpoint: "x", Tries: 9, Failed: i % 9}}}}}
				case 4:
					e := entry("x", 0)
					e.Phase = wire.PhaseDraining
					in = []Input{listed(false, e)}
				case 5:
					in = nil
				}
				c.Handle(now, in)
				c.Channel.Send(now)
			}
			for _, s := range streams {
				for _, m := range s.sent {
					all = append(all, fmt.Sprintf("%+v", *m))
				}
			}
			return append(all, edge.calls...)
		}
		first := play()
		require.Equal(rt, first, play())
	})
}

// TestLoop drives the loop in the test's bubble of time: it starts by itself, wakes for alarms and ends when asked.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, stream := &script{orders: [][]planner.Command{{planner.SetTimer{AtMs: 2500, Name: "bell"}}}}, &fake{}
		l := NewLoop(NewCore(plan(d, &fake{})), RealClock{}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, l.Post(ctx, ProxyJoined{stream, hello("p", "a")}))
		time.Sleep(2 * time.Second)
		synctest.Wait() // the loop is idle: what it wrote may be read
		assert.Equal(t, []float64{0, 1000, 2500}, d.times)
		assert.Equal(t, 1, l.State().Proxies)
		cancel()
		assert.NoError(t, <-ended)
		for range inboxSize {
			require.NoError(t, l.Post(t.Context(), EndpointListLost{}))
		}
		assert.ErrorIs(t, l.Post(ctx, EndpointListLost{}), context.Canceled) // full, and nobody takes from it
	})
}

// BenchmarkChannel measures the lines a second that go through an unpaced channel: tables of 110 lines for 450 proxies.
func BenchmarkChannel(b *testing.B) {
	c := NewChannel(0, 0, 0, 10000, nil)
	ops := make([]wire.Op, 110)
	var sessions []*session
	for range 450 {
		sessions = append(sessions, &session{stream: &fake{full: false}})
	}
	lines, now := 0, 0.0
	for b.Loop() {
		now++
		for _, s := range sessions {
			c.Enqueue(now, s, &wire.Orders{Lines: 114, Ops: ops})
		}
		lines += c.Send(now)
		for _, s := range sessions {
			f, _ := s.stream.(*fake)
			f.sent = f.sent[:0]
		}
	}
	b.ReportMetric(float64(lines)/b.Elapsed().Seconds(), "lines/s")
}
