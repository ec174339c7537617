package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// BenchmarkCore measures the controller's own cost beside the planner's: seconds of load reports at full size, in the
// core's own clock, without sockets. One operation is one second of the controller.
func BenchmarkCore(b *testing.B) { newCoreBench().run(b) }

// BenchmarkCoreRecorded is the same with a record written beside it.
func BenchmarkCoreRecorded(b *testing.B) {
	bench := newCoreBench()
	bench.record(b)
	bench.run(b)
}

// endpointStep spreads the endpoints that a proxy met over the fleet.
const endpointStep = 39

// linesPerReport are the lines of a report: eight endpoints and the demand.
const linesPerReport = 9

// coreBench is a core at full size whose planner is timed.
type coreBench struct {
	planner  *timedDecider
	settings map[string]any
	options  controller.Options
	core     *controller.Core

	streams []*sink
	reports []*wire.Sums // one for each stream
	nowMs   float64
	inputs  int
	turnsMs []float64 // of those that asked the planner

	// With a record.
	store  *record.Store
	life   record.Life
	writer *record.Writer
	stop   func()
}

func newCoreBench() *coreBench {
	cfg := config.CommonDefaults()
	cfg.Zones = zones
	cfg.Machines = []string{"std"}
	cfg.Proxies = manyProxies
	cfg.LinesPerS = 20000
	cfg.Backlog = 30000
	cfg.Kinds = []config.RequestClass{{Name: "read", Repeats: "replayable", ResponseTarget: time.Second, Payoff: 1}}
	settings := cfg.PlannerSettings(0)
	bench := &coreBench{settings: settings, planner: &timedDecider{Decider: planner.New(1, settings)}, nowMs: 1}
	bench.options = controller.Options{
		Decider:        bench.planner,
		Settings:       settings,
		Zones:          zones,
		Machines:       cfg.Machines,
		Classes:        cfg.ClassNames(),
		LinesPerS:      cfg.LinesPerS,
		Backlog:        cfg.Backlog,
		HeadLines:      4,
		Telemetry:      telemetry.Options{PeriodMs: 1000, HalfMs: 5000, LongestMs: 60000},
		MaxProxies:     1 << 16,
		EndpointSource: idle{},
		HealthChecker:  idle{},
		Gossip:         idle{},
		Log:            func(string) {},
		Malformed:      func(string, ...string) {},
	}
	return bench
}

// record has a record written.
func (c *coreBench) record(b *testing.B) {
	var err error
	c.store, err = record.Open(b.TempDir(), false)
	require.NoError(b, err)
	b.Cleanup(func() { mustClose(b, c.store) })
	settings, err := json.Marshal(c.settings)
	require.NoError(b, err)
	c.life = record.Life{ID: "a", Seed: 1, Settings: string(settings)}
	c.writer, err = record.NewWriter(c.store, c.life, record.DefaultLimits(), zap.NewNop())
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- c.writer.Run(ctx) }()
	c.stop = func() {
		cancel()
		require.NoError(b, <-done)
	}
	checkpoint := func() []controller.Input { return c.core.Checkpoint() }
	c.options.OnTurn = record.NewRecorder(c.writer.Enqueue, checkpoint).Turn
}

// run measures, and reports.
func (c *coreBench) run(b *testing.B) {
	c.join()
	b.ReportAllocs()
	for b.Loop() {
		c.second()
	}
	c.reportMetrics(b)
	if c.writer == nil {
		return
	}
	time.Sleep(time.Second) // past a commit
	b.ReportMetric(float64(c.writer.Bytes.Load())/float64(c.core.Events), "bytes/note")
	b.ReportMetric(float64(c.writer.Bytes.Load())/float64(b.N), "bytes/s-of-pilot")
	c.stop()
	c.replay(b)
}

// join lists all endpoints and joins all proxies.
func (c *coreBench) join() {
	c.core = controller.NewCore(c.options)
	entries := fleet()
	c.core.Handle(0, []controller.Input{controller.EndpointsListed{List: &wire.List{Whole: true, Entries: entries}}})
	for i := range manyProxies {
		stream := &sink{}
		hello := wire.Hello{Proxy: fmt.Sprint(i), Zone: zones[i%3], Rate: 2}
		c.core.Handle(1, []controller.Input{controller.ProxyJoined{Stream: stream, Hello: hello}})
		c.streams = append(c.streams, stream)
		c.reports = append(c.reports, benchReport(entries, i))
	}
	c.planner.took = 0
	c.core.Events = 0
}

// benchReport returns what a proxy met in a second.
func benchReport(entries []wire.Entry, proxy int) *wire.Sums {
	report := &wire.Sums{SpanMs: 1000, Demand: []wire.Demand{{Kind: "read", Reqs: 2}}}
	for k := range linesPerReport - 1 {
		endpoint := entries[(proxy+k*endpointStep)%manyEndpoints].Endpoint
		utilization := 0.4 + 0.3*float64(proxy%7)/7
		report.Met = append(report.Met, wire.Met{
			Endpoint: endpoint,
			Tries:    1,
			MeanMs:   30,
			Load:     []wire.Figure{{Name: "util", Value: utilization}, {Name: "rate", Value: 20}},
		})
	}
	return report
}

// second brings each proxy's report of a second.
func (c *coreBench) second() {
	for i, stream := range c.streams {
		report := c.reports[i]
		report.Seq++
		report.AtMs = c.nowMs
		c.nowMs += 1000.0 / manyProxies
		events := c.core.Events
		began := time.Now()
		c.core.Handle(c.nowMs, []controller.Input{controller.LoadReported{Stream: stream, Sums: report}})
		if c.core.Events > events {
			c.turnsMs = append(c.turnsMs, time.Since(began).Seconds()*1000)
		}
		c.core.Channel.Send(c.nowMs)
		c.inputs++
	}
}

func (c *coreBench) reportMetrics(b *testing.B) {
	all := b.Elapsed().Seconds()
	planner := c.planner.took.Seconds()
	own := all - planner
	b.ReportMetric(own/planner, "own/module")
	b.ReportMetric(planner/float64(b.N)*1000, "module-ms/s")
	b.ReportMetric(float64(c.inputs)*linesPerReport/own, "report-lines/own-s")
	b.ReportMetric(float64(c.core.Events)/all, "notes/s")
	slices.Sort(c.turnsMs)
	b.ReportMetric(c.turnsMs[len(c.turnsMs)*99/100], "ms-turn-p99")
}

// replay measures a replay of the record, which must command the same.
func (c *coreBench) replay(b *testing.B) {
	began := time.Now()
	newDecider := func(seed int64, settings map[string]any) controller.Decider { return planner.New(seed, settings) }
	result, err := record.Replay(c.store, c.life, nil, newDecider)
	require.NoError(b, err)
	require.Empty(b, result.FirstDiff)
	const minutesPerDay = 24 * 60
	replayedPart := time.Since(began).Seconds() / (result.SpanMs / 1000)
	b.ReportMetric(replayedPart*minutesPerDay, "min-replay/day")
}

// timedDecider measures a planner's own time.
type timedDecider struct {
	controller.Decider
	took time.Duration
}

// Handle asks the planner.
func (d *timedDecider) Handle(nowMs float64, events []planner.Event) []planner.Command {
	start := time.Now()
	defer func() { d.took += time.Since(start) }()
	return d.Decider.Handle(nowMs, events)
}

// sink is a stream that takes everything.
type sink struct{ lines int }

// Send counts lines.
func (s *sink) Send(m *wire.Orders) error {
	s.lines += m.Lines
	return nil
}

// Ask does nothing.
func (s *sink) Ask(*wire.Pace) error { return nil }

// Close does nothing.
func (s *sink) Close(string) {}

// idle stands for transports that are not measured.
type idle struct{}

// Watch does nothing.
func (idle) Watch(bool) {}

// Fetch does nothing.
func (idle) Fetch() {}

// Probe does nothing.
func (idle) Probe(string) {}

// Tell does nothing.
func (idle) Tell(int, string) {}
