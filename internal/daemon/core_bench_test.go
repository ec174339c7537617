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

// BenchmarkCore compares the cost of the controller with that of the planner. It processes load reports of a full-size
// deployment, without sockets and on a simulated clock. One operation is one simulated second.
func BenchmarkCore(b *testing.B) { newCoreBench().run(b) }

// BenchmarkCoreRecorded is BenchmarkCore with recording enabled. It also measures the size of the record and the time
// of a replay.
func BenchmarkCoreRecorded(b *testing.B) {
	bench := newCoreBench()
	bench.record(b)
	bench.run(b)
}

// endpointStride is the distance, in the list of all endpoints, between endpoints in the report of one proxy.
const endpointStride = 39

// linesPerReport is the number of lines in a load report: one for each of eight endpoints, and one for the demand.
const linesPerReport = 9

// coreBench is a controller core with a full-size deployment, whose planner is timed.
type coreBench struct {
	planner  *timedDecider
	settings map[string]any
	options  controller.Options
	core     *controller.Core

	streams         []*discardStream
	reports         []*wire.LoadReport // load report of each stream
	nowMs           float64            // simulated time
	inputs          int                // number of inputs handled
	turnDurationsMs []float64          // durations of the turns in which the planner was called

	// Set only if recording is enabled.
	store  *record.Store
	life   record.Life
	writer *record.Writer
	stop   func()
}

// newCoreBench returns a benchmark without recording.
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
		Decider:         bench.planner,
		Settings:        settings,
		Zones:           zones,
		Machines:        cfg.Machines,
		Classes:         cfg.ClassNames(),
		LinesPerS:       cfg.LinesPerS,
		Backlog:         cfg.Backlog,
		MessageOverhead: 4,
		Telemetry:       telemetry.Options{PeriodMs: 1000, HalfLifeMs: 5000, MaxAgeMs: 60000},
		MaxProxies:      1 << 16,
		EndpointSource:  noopTransports{},
		HealthChecker:   noopTransports{},
		Gossip:          noopTransports{},
		Log:             func(string) {},
		Malformed:       func(string, ...string) {},
	}
	return bench
}

// record enables recording to a temporary directory.
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

// run runs the benchmark and reports its metrics.
func (c *coreBench) run(b *testing.B) {
	c.joinAll()
	b.ReportAllocs()
	for b.Loop() {
		c.simulateSecond()
	}
	c.reportMetrics(b)
	if c.writer == nil {
		return
	}
	time.Sleep(time.Second) // longer than the writer's commit interval
	b.ReportMetric(float64(c.writer.Bytes.Load())/float64(c.core.EventCount), "bytes/note")
	b.ReportMetric(float64(c.writer.Bytes.Load())/float64(b.N), "bytes/s-of-pilot")
	c.stop()
	c.replay(b)
}

// joinAll sends the list of all endpoints to the core and lets all proxies join.
func (c *coreBench) joinAll() {
	c.core = controller.NewCore(c.options)
	entries := allEndpoints()
	c.core.Handle(0, []controller.Input{controller.EndpointsListed{List: &wire.List{Whole: true, Entries: entries}}})
	for i := range manyProxies {
		stream := &discardStream{}
		hello := wire.Hello{Proxy: fmt.Sprint(i), Zone: zones[i%3], Rate: 2}
		c.core.Handle(1, []controller.Input{controller.ProxyJoined{Stream: stream, Hello: hello}})
		c.streams = append(c.streams, stream)
		c.reports = append(c.reports, benchReport(entries, i))
	}
	c.planner.elapsed = 0
	c.core.EventCount = 0
}

// benchReport returns the load report of a proxy for one second.
func benchReport(entries []wire.Entry, proxy int) *wire.LoadReport {
	report := &wire.LoadReport{SpanMs: 1000, RequestStats: []wire.RequestStats{{Class: "read", Requests: 2}}}
	for k := range linesPerReport - 1 {
		endpoint := entries[(proxy+k*endpointStride)%manyEndpoints].Endpoint
		utilization := 0.4 + 0.3*float64(proxy%7)/7
		report.EndpointStats = append(report.EndpointStats, wire.EndpointStats{
			Endpoint: endpoint,
			Attempts: 1,
			MeanMs:   30,
			Load:     []wire.LoadMetric{{Name: "util", Value: utilization}, {Name: "rate", Value: 20}},
		})
	}
	return report
}

// simulateSecond simulates one second, in which each proxy sends one load report.
func (c *coreBench) simulateSecond() {
	for i, stream := range c.streams {
		report := c.reports[i]
		report.Seq++
		report.AtMs = c.nowMs
		c.nowMs += 1000.0 / manyProxies
		events := c.core.EventCount
		began := time.Now()
		c.core.Handle(c.nowMs, []controller.Input{controller.LoadReported{Stream: stream, Sums: report}})
		if c.core.EventCount > events {
			c.turnDurationsMs = append(c.turnDurationsMs, time.Since(began).Seconds()*1000)
		}
		c.core.Channel.Send(c.nowMs)
		c.inputs++
	}
}

// reportMetrics reports the cost of the controller relative to the planner's, the throughput, and the 99th percentile
// of the turn duration.
func (c *coreBench) reportMetrics(b *testing.B) {
	all := b.Elapsed().Seconds()
	planner := c.planner.elapsed.Seconds()
	own := all - planner
	b.ReportMetric(own/planner, "own/module")
	b.ReportMetric(planner/float64(b.N)*1000, "module-ms/s")
	b.ReportMetric(float64(c.inputs)*linesPerReport/own, "report-lines/own-s")
	b.ReportMetric(float64(c.core.EventCount)/all, "notes/s")
	slices.Sort(c.turnDurationsMs)
	b.ReportMetric(c.turnDurationsMs[len(c.turnDurationsMs)*99/100], "ms-turn-p99")
}

// replay measures a replay of the record and checks that it produces the recorded commands.
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

// timedDecider is a planner that measures the time spent in it.
type timedDecider struct {
	controller.Decider
	elapsed time.Duration
}

// Handle calls the planner and adds the duration of the call to d.elapsed.
func (d *timedDecider) Handle(nowMs float64, events []planner.Event) []planner.Command {
	start := time.Now()
	defer func() { d.elapsed += time.Since(start) }()
	return d.Decider.Handle(nowMs, events)
}

// discardStream is a stream that counts the lines sent on it and discards everything.
type discardStream struct{ lines int }

// Send counts the lines of m.
func (s *discardStream) Send(m *wire.Commands) error {
	s.lines += m.CostLines
	return nil
}

// RequestPace discards a request to change the reporting interval.
func (s *discardStream) RequestPace(*wire.Pace) error { return nil }

// Close does nothing, because there is no connection.
func (s *discardStream) Close(string) {}

// noopTransports is a no-op implementation of the transports that the benchmark does not measure.
type noopTransports struct{}

// Watch implements controller.EndpointSource; it does nothing.
func (noopTransports) Watch(bool) {}

// Fetch implements controller.EndpointSource; it does nothing.
func (noopTransports) Fetch() {}

// Probe implements controller.HealthChecker; it does nothing.
func (noopTransports) Probe(string) {}

// Tell implements controller.GossipSender; it does nothing.
func (noopTransports) Tell(int, string) {}
