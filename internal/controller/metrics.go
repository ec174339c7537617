package controller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// metricsNamespace is the prefix of all metric names.
const metricsNamespace = "indigousher"

// Metrics holds the Prometheus metrics of the runtime. Methods called on a nil *Metrics record nothing.
type Metrics struct {
	// Metrics of proxies, streams and the loop.
	proxiesJoined prometheus.Gauge
	turnInputs    prometheus.Gauge
	malformed     *prometheus.CounterVec
	closedStreams *prometheus.CounterVec
	decideSeconds prometheus.Histogram

	// Metrics of the channel.
	waitingLines    prometheus.Gauge
	backlogFraction prometheus.Gauge
	messageFraction prometheus.Gauge
	messagesSent    prometheus.Counter
	linesSent       prometheus.Counter
	waitSeconds     prometheus.Histogram

	// Metrics of load reports. lastReportCounts holds, by reason, the counts that have been added to reportLines.
	reportLines      *prometheus.CounterVec
	lastReportCounts []uint64
	waitingSums      prometheus.Gauge
	ageMedian        prometheus.Gauge
	ageP99           prometheus.Gauge
}

// NewMetrics creates the metrics and registers them with r. It panics if one of the names is already registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	f := metricFactory{r}
	return &Metrics{
		proxiesJoined:   f.gauge("proxies_joined", "Proxies connected to this pilot."),
		waitingLines:    f.gauge("channel_lines", "Lines that wait in the channel, including message overhead."),
		backlogFraction: f.gauge("channel_backlog_part", "Waiting lines as a fraction of the backlog limit."),
		messageFraction: f.gauge("proxy_messages_part", "Recent messages to one proxy as a fraction of the limit."),
		turnInputs:      f.gauge("inbox_inputs", "Inputs handled in the last turn of the loop."),
		waitingSums:     f.gauge("intake_standing", "Report sums that wait to be passed to the planner."),
		ageMedian:       f.gauge("intake_age_ms_p50", "Median age in ms of the report values passed on so far."),
		ageP99:          f.gauge("intake_age_ms_p99", "99th percentile age in ms of the report values passed on so far."),
		reportLines:     f.counterByReason("intake_lines_total", "Report lines by what was done with them."),
		messagesSent:    f.counter("channel_messages_total", "Messages sent through the channel."),
		linesSent:       f.counter("channel_lines_total", "Lines sent through the channel, including message overhead."),
		malformed:       f.counterByReason("odd_inputs_total", "Malformed inputs and commands, by reason."),
		closedStreams:   f.counterByReason("streams_cut_total", "Streams closed because the channel was full, by reason."),
		waitSeconds:     f.histogram("channel_wait_seconds", "Time in seconds that messages wait in the channel."),
		decideSeconds:   f.histogram("decide_seconds", "Time in seconds that the planner takes for one turn."),
	}
}

// metricFactory creates metrics with the prefix metricsNamespace and registers them.
type metricFactory struct{ registry prometheus.Registerer }

// gauge creates and registers a gauge.
func (f metricFactory) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: metricsNamespace, Name: name, Help: help})
	f.registry.MustRegister(g)
	return g
}

// counter creates and registers a counter.
func (f metricFactory) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help})
	f.registry.MustRegister(c)
	return c
}

// counterByReason creates and registers a counter with the label "reason".
func (f metricFactory) counterByReason(name, help string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metricsNamespace, Name: name, Help: help},
		[]string{"reason"})
	f.registry.MustRegister(c)
	return c
}

// histogram creates and registers a histogram in seconds with 14 buckets. The first bucket ends at 0.1 ms, and each
// further one at 2.5 times the previous bound.
func (f metricFactory) histogram(name, help string) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: metricsNamespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0001, 2.5, 14),
	})
	f.registry.MustRegister(h)
	return h
}

// setProxies sets the number of joined proxies.
func (m *Metrics) setProxies(n int) {
	if m != nil {
		m.proxiesJoined.Set(float64(n))
	}
}

// setInputs sets the number of inputs handled in the last turn.
func (m *Metrics) setInputs(inputs int) {
	if m != nil {
		m.turnInputs.Set(float64(inputs))
	}
}

// setWaiting sets the number of lines that wait in the channel, and their fraction of the backlog limit. A backlog of 0
// means that there is no limit; the fraction is then not set.
func (m *Metrics) setWaiting(lines int, backlog float64) {
	if m == nil {
		return
	}
	m.waitingLines.Set(float64(lines))
	if backlog > 0 {
		m.backlogFraction.Set(float64(lines) / backlog)
	}
}

// messageSent counts a message sent through the channel. recent is the number of messages sent to the same proxy within
// the period of the message limit, and limit the maximum; 0 means no limit.
func (m *Metrics) messageSent(message *wire.Commands, recent, limit int) {
	if m == nil {
		return
	}
	m.messagesSent.Inc()
	m.linesSent.Add(float64(message.CostLines))
	m.waitSeconds.Observe(message.AgeMs / 1000)
	if limit > 0 {
		m.messageFraction.Set(float64(recent) / float64(limit))
	}
}

// setTelemetry updates the metrics of load reports. counts holds the number of report lines since the start, by reason;
// waiting is the number of sums that wait to be passed on; ages is a histogram of the values' ages in ms.
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

// malformedInput counts a malformed input or command.
func (m *Metrics) malformedInput(reason string) {
	if m != nil {
		m.malformed.WithLabelValues(reason).Inc()
	}
}

// streamClosed counts a stream that this pilot closed, by reason.
func (m *Metrics) streamClosed(reason string) {
	if m != nil {
		m.closedStreams.WithLabelValues(reason).Inc()
	}
}

// timeDecider calls decide and records how long it takes.
func (m *Metrics) timeDecider(decide func() []planner.Command) []planner.Command {
	if m == nil {
		return decide()
	}
	start := time.Now()
	commands := decide()
	m.decideSeconds.Observe(time.Since(start).Seconds())
	return commands
}
