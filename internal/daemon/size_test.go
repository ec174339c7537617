package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/testbed/routing"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// The size that the grown deployments reach.
const (
	manyProxies   = 450
	manyEndpoints = 328
)

var zones = []string{"a", "b", "c"}

func fleet() (entries []wire.Entry) {
	for i := range manyEndpoints {
		entries = append(entries, wire.Entry{Endpoint: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250), Zone: zones[i%3],
			Machine: "std", Weight: 1})
	}
	return entries
}

// BenchmarkListChange measures on sockets, at full size, from a change of the list to each proxy having applied it:
// one endpoint of each zone drains and comes back.
func BenchmarkListChange(b *testing.B) {
	for _, pace := range []float64{12000, 1e9} {
		b.Run(fmt.Sprintf("lines_per_s=%.0e", pace), func(b *testing.B) {
			book := eventlog.NewLog()
			l := registry.New(book.Stream("list"))
			require.NoError(b, l.Start())
			defer l.Close()
			entries := fleet()
			l.Put(0, entries...)
			t := config.Defaults()
			t.Zones, t.Machines, t.Kinds = zones, []string{"std"}, []config.RequestClass{{Name: "read", Repeats: "replayable",
				ResponseTarget: time.Second, ClientTimeout: 3 * time.Second, Payoff: 1}}
			t.Zone, t.Listen, t.Admin, t.ListAddress = "a", "127.0.0.1:0", "", l.Address()
			t.Proxies, t.LinesPerS, t.Backlog = manyProxies, pace, 1.5*pace
			t.MessagesMost, t.Plain = 0, true
			d, err := New(&t, Options{})
			require.NoError(b, err)
			stop, ended := runB(b, d)
			for i := range manyProxies {
				name := fmt.Sprintf("p%d", i)
				p := proxy.New(proxy.Options{Name: name, Zone: zones[i%3], Routing: routing.Policy{Classes: []string{"read"}}, Rate: 2,
					StaticTable: func() []string { return nil }, Pilots: func() []string { return []string{d.Address()} },
					Dial: (&net.Dialer{}).DialContext, RedialPause: 50 * time.Millisecond}, book.Stream(name))
				require.NoError(b, p.Start())
				defer p.Kill()
			}
			lines := func(since float64) (at map[string]float64) {
				at = map[string]float64{}
				for _, e := range book.Events() {
					if e.What == eventlog.Lines && e.At >= since && e.N > 0 {
						at[e.Who] = e.At
					}
				}
				return at
			}
			wait := func(since float64) (took []float64) {
				for {
					at := lines(since)
					if len(at) >= manyProxies {
						for _, t := range at {
							took = append(took, t-since)
						}
						slices.Sort(took)
						return took
					}
					time.Sleep(20 * time.Millisecond)
				}
			}
			bound := wait(0)
			var all []float64
			phase := wire.PhaseReady
			for b.Loop() {
				time.Sleep(1500 * time.Millisecond) // a gather lies between
				phase = wire.PhaseDraining - phase
				for i := range 3 {
					entries[i].Phase = phase
				}
				since := book.Now()
				l.Put(0, entries[:3]...)
				all = append(all, wait(since)...)
			}
			slices.Sort(all)
			b.ReportMetric(bound[len(bound)-1], "ms-all-bound")
			b.ReportMetric(all[len(all)/2], "ms-p50")
			b.ReportMetric(all[len(all)*99/100], "ms-p99")
			b.ReportMetric(all[len(all)-1], "ms-worst")
			stop()
			<-ended
		})
	}
}

func runB(b *testing.B, d *Daemon) (func(), chan error) {
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(b.Context())
	go func() { ended <- d.Run(ctx) }()
	return cancel, ended
}

// sink is a stream that takes all.
type sink struct{ lines int }

func (s *sink) Send(m *wire.Orders) error { s.lines += m.Lines; return nil }
func (s *sink) Ask(*wire.Pace) error      { return nil }
func (s *sink) Close(string)              {}

// idle stands for edges that are not measured.
type idle struct{}

func (idle) Watch(bool)       {}
func (idle) Fetch()           {}
func (idle) Probe(string)     {}
func (idle) Tell(int, string) {}

// BenchmarkCore measures the runtime's own cost beside the module's: seconds of reports at full size, in the core's
// own clock, without sockets. One operation is one second of the pilot.
func BenchmarkCore(b *testing.B) { benchmarkCore(b, false) }

// BenchmarkCoreRecorded is the same with a record written beside it.
func BenchmarkCoreRecorded(b *testing.B) { benchmarkCore(b, true) }

func benchmarkCore(b *testing.B, recorded bool) {
	c := config.CommonDefaults()
	c.Zones, c.Machines, c.Proxies, c.LinesPerS, c.Backlog = zones, []string{"std"}, manyProxies, 20000, 30000
	c.Kinds = []config.RequestClass{{Name: "read", Repeats: "replayable", ResponseTarget: time.Second, Payoff: 1}}
	told := c.PlannerSettings(0)
	timed := &timed{Decider: planner.New(1, told)}
	var core *controller.Core
	plan := controller.Options{Decider: timed, Settings: told, Zones: zones, Machines: c.Machines, Classes: c.ClassNames(),
		LinesPerS: c.LinesPerS, Backlog: c.Backlog, HeadLines: 4, Telemetry: telemetry.Options{PeriodMs: 1000, HalfMs: 5000, LongestMs: 60000}, MaxProxies: 1 << 16, EndpointSource: idle{},
		HealthChecker: idle{}, Gossip: idle{}, Log: func(string) {}, Malformed: func(string, ...string) {}}
	var w *record.Writer
	after := func() {}
	if recorded {
		s, err := record.Open(b.TempDir(), false)
		require.NoError(b, err)
		text, err := json.Marshal(told)
		require.NoError(b, err)
		life := record.Life{ID: "a", Seed: 1, Settings: string(text)}
		w, err = record.NewWriter(s, life, record.DefaultLimits(), zap.NewNop())
		require.NoError(b, err)
		ctx, cancel := context.WithCancel(b.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		defer s.Close()
		after = func() {
			cancel()
			<-done
			began := time.Now()
			r, err := record.Replay(s, life, nil, func(seed int64, t map[string]any) controller.Decider { return planner.New(seed, t) })
			require.NoError(b, err)
			require.Empty(b, r.FirstDiff)
			took := time.Since(began).Seconds()
			b.ReportMetric(took/r.SpanMs*1000*86400/60, "min-replay/day")
		}
		plan.OnTurn = record.NewRecorder(w.Turn, func() []controller.Input { return core.Checkpoint() }).Turn
	}
	core = controller.NewCore(plan)
	entries := fleet()
	core.Handle(0, []controller.Input{controller.EndpointsListed{List: &wire.List{Whole: true, Entries: entries}}})
	var streams []*sink
	for i := range manyProxies {
		streams = append(streams, &sink{})
		core.Handle(1, []controller.Input{controller.ProxyJoined{Stream: streams[i], Hello: wire.Hello{Proxy: fmt.Sprint(i), Zone: zones[i%3], Rate: 2}}})
	}
	now, inputs, seq := 1.0, 0, uint64(0)
	timed.took, core.Events = 0, 0
	sums := make([]*wire.Sums, manyProxies)
	for i := range sums {
		sums[i] = &wire.Sums{SpanMs: 1000, Demand: []wire.Demand{{Kind: "read", Reqs: 2}}}
		for k := range 8 { // of each proxy's tries in a second
			e := entries[(i+k*zoneStep)%manyEndpoints]
			sums[i].Met = append(sums[i].Met, wire.Met{Endpoint: e.Endpoint, Tries: 1, MeanMs: 30,
				Load: []wire.Figure{{Name: "util", Value: 0.4 + 0.3*float64(i%7)/7}, {Name: "rate", Value: 20}}})
		}
	}
	b.ReportAllocs()
	var turns []float64 // ms of those that asked the module
	for b.Loop() {
		seq++
		for i, s := range streams {
			sums[i].Seq, sums[i].AtMs = seq, now
			now += 1000.0 / manyProxies
			heard, began := core.Events, time.Now()
			core.Handle(now, []controller.Input{controller.LoadReported{Stream: s, Sums: sums[i]}})
			if core.Events > heard {
				turns = append(turns, time.Since(began).Seconds()*1000)
			}
			core.Channel.Send(now)
			inputs++
		}
	}
	all, module := b.Elapsed().Seconds(), timed.took.Seconds()
	b.ReportMetric((all-module)/module, "own/module")
	b.ReportMetric(module/float64(b.N)*1000, "module-ms/s")
	b.ReportMetric(float64(inputs)*9/(all-module), "report-lines/own-s")
	b.ReportMetric(float64(core.Events)/all, "notes/s")
	slices.Sort(turns)
	b.ReportMetric(turns[len(turns)*99/100], "ms-turn-p99")
	if recorded {
		time.Sleep(time.Second)
		b.ReportMetric(float64(w.Bytes.Load())/float64(core.Events), "bytes/note")
		b.ReportMetric(float64(w.Bytes.Load())/float64(b.N), "bytes/s-of-pilot")
	}
	after()
}

const zoneStep = 39

// timed measures the module's own time.
type timed struct {
	controller.Decider
	took time.Duration
}

func (t *timed) Handle(nowMs float64, notes []planner.Event) []planner.Command {
	start := time.Now()
	defer func() { t.took += time.Since(start) }()
	return t.Decider.Handle(nowMs, notes)
}
