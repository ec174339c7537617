package controller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// metricsNamespace is the first part of each metric's name.
const metricsNamespace = "indigousher"

// Metrics holds the runtime's metrics. A nil Metrics counts nothing.
type Metrics struct {
	// Proxies and the loop.
	proxiesJoined prometheus.Gauge
	turnInputs    prometheus.Gauge
	malformed     *prometheus.CounterVec
	closedStreams *prometheus.CounterVec
	decideSeconds prometheus.Histogram

	// The channel.
	waitingLines    prometheus.Gauge
	backlogFraction prometheus.Gauge
	messageFraction prometheus.Gauge
	messagesSent    prometheus.Counter
	linesSent       prometheus.Counter
	waitSeconds     prometheus.Histogram

	// Reports. lastReportCounts holds the counts already added to reportLines, by reason.
	reportLines      *prometheus.CounterVec
	lastReportCounts []uint64
	waitingSums      prometheus.Gauge
	ageMedian        prometheus.Gauge
	ageP99           prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	f := metricFactory{r}
	return &Metrics{
		proxiesJoined:   f.gauge("proxies_joined", "Proxies with a stream to this pilot."),
		waitingLines:    f.gauge("channel_lines", "Lines that wait in the channel, heads included."),
		backlogFraction: f.gauge("channel_backlog_part", "Waiting lines as a part of the backlog's limit."),
		messageFraction: f.gauge("proxy_messages_part", "Messages to the proxy last written to, as a part of their limit."),
		turnInputs:      f.gauge("inbox_inputs", "Inputs taken in by the last turn of the loop."),
		waitingSums:     f.gauge("intake_standing", "Sums that wait to be passed on to the module."),
		ageMedian:       f.gauge("intake_age_ms_p50", "Age of the figures passed on, median, since the start."),
		ageP99:          f.gauge("intake_age_ms_p99", "Age of the figures passed on, 99th percentile, since the start."),
		reportLines:     f.counterByReason("intake_lines_total", "Report lines by what became of them."),
		messagesSent:    f.counter("channel_messages_total", "Messages that left the channel."),
		linesSent:       f.counter("channel_lines_total", "Lines that left the channel, heads included."),
		malformed:       f.counterByReason("odd_inputs_total", "Inputs that could not be used, by reason."),
		closedStreams:   f.counterByReason("streams_cut_total", "Streams ended by this pilot, by reason."),
		waitSeconds:     f.histogram("channel_wait_seconds", "Time from order to leaving the channel."),
		decideSeconds:   f.histogram("decide_seconds", "Time of the module for one turn of the loop."),
	}
}

// metricFactory makes metrics in the project's namespace and registers them.
type metricFactory struct{ registry prometheus.Registerer }

// gauge makes and registers a gauge.
func (f metricFactory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
	f.registry.MustRegister(g)
	return g
}

// counter makes and registers a counter.
func (f metricFactory) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	f.registry.MustRegister(c)
	return c
}

// counterByReason makes and registers a counter with the label "reason".
func (f metricFactory) counterByReason(name, help string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help},
		[]string{"reason"})
	f.registry.MustRegister(c)
	return c
}

// histogram makes and registers a histogram of seconds: 14 buckets from 0.1 ms on, each 2.5 times the one before.
func (f metricFactory) histogram(name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2.5, 14),
	})
	f.registry.MustRegister(h)
	return h
}

// setProxies shows how many proxies have a stream.
func (m *Metrics) setProxies(n int) {
	if m != nil {
		m.proxiesJoined.Set(float64(n))
	}
}

// setInputs shows how many inputs the last turn handled.
func (m *Metrics) setInputs(inputs int) {
	if m != nil {
		m.turnInputs.Set(float64(inputs))
	}
}

// setWaiting shows the lines that wait in the channel, also as a part of the backlog limit if there is one.
func (m *Metrics) setWaiting(lines int, backlog float64) {
	if m == nil {
		return
	}
	m.waitingLines.Set(float64(lines))
	if backlog > 0 {
		m.backlogFraction.Set(float64(lines) / backlog)
	}
}

// messageSent counts a message that left the channel; recent is how many left to its proxy lately, limit how many may.
func (m *Metrics) messageSent(message *wire.Orders, recent, limit int) {
	if m == nil {
		return
	}
	m.messagesSent.Inc()
	m.linesSent.Add(float64(message.Lines))
	m.waitSeconds.Observe(message.AgeMs / 1000)
	if limit > 0 {
		m.messageFraction.Set(float64(recent) / float64(limit))
	}
}

// setTelemetry shows what became of report lines. counts are those since the start, by reason; waiting is how many sums
// are left to be passed on.
func (m *Metrics) setTelemetry(counts []uint64, waiting int, ages *hdrhistogram.Histogram) {
	if m == nil {
		return
	}
	if m.lastReportCounts == nil {
		m.lastReportCounts = make([]uint64, len(counts))
	}
	for i, r := range telemetry.Reasons() {
		m.reportLines.WithLabelValues(r.String()).Add(float64(counts[i] - m.lastReportCounts[i]))
		m.lastReportCounts[i] = counts[i]
	}
	m.waitingSums.Set(float64(waiting))
	m.ageMedian.Set(float64(ages.ValueAtQuantile(50)))
	m.ageP99.Set(float64(ages.ValueAtQuantile(99)))
}

// malformedInput counts an input that could not be used.
func (m *Metrics) malformedInput(reason string) {
	if m != nil {
		m.malformed.WithLabelValues(reason).Inc()
	}
}

// streamClosed counts a stream that this pilot ended.
func (m *Metrics) streamClosed(reason string) {
	if m != nil {
		m.closedStreams.WithLabelValues(reason).Inc()
	}
}

// timeDecider calls the decider and measures it.
func (m *Metrics) timeDecider(decide func() []planner.Command) []planner.Command {
	if m == nil {
		return decide()
	}
	start := time.Now()
	commands := decide()
	m.decideSeconds.Observe(time.Since(start).Seconds())
	return commands
}
