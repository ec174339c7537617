package pilot

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"indigousher/brain"
	"indigousher/intake"
	"indigousher/internal/wire"
)

// Meter holds the runtime's metrics. A nil Meter counts nothing.
type Meter struct {
	proxiesJoined, waitingLines, backlogFraction, messageFraction prometheus.Gauge
	messagesSent, linesSent                                       prometheus.Counter
	malformed, closedStreams                                      *prometheus.CounterVec
	turnInputs                                                    prometheus.Gauge
	waitSeconds, decideSeconds                                    prometheus.Histogram
	waitingSums, ageMedian, ageP99                                prometheus.Gauge
	reportLines                                                   *prometheus.CounterVec
	reportedBefore                                                []uint64
	DecideTime                                                    time.Duration // the module's own, all in all
}

// NewMeter registers the metrics.
func NewMeter(r prometheus.Registerer) *Meter {
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "indigousher", Name: name, Help: help})
		r.MustRegister(g)
		return g
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "indigousher", Name: name, Help: help})
		r.MustRegister(c)
		return c
	}
	vec := func(name, help string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "indigousher", Name: name, Help: help},
			[]string{"reason"})
		r.MustRegister(c)
		return c
	}
	histogram := func(name, help string) prometheus.Histogram {
		h := prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: "indigousher", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.0001, 2.5, 14)})
		r.MustRegister(h)
		return h
	}
	return &Meter{
		proxiesJoined:   gauge("proxies_joined", "Proxies with a stream to this pilot."),
		waitingLines:    gauge("channel_lines", "Lines that wait in the channel, heads included."),
		backlogFraction: gauge("channel_backlog_part", "Waiting lines as a part of the backlog's limit."),
		messageFraction: gauge("proxy_messages_part", "Messages to the proxy last written to, as a part of their limit."),
		turnInputs:      gauge("inbox_inputs", "Inputs taken in by the last turn of the loop."),
		waitingSums:     gauge("intake_standing", "Sums that wait to be passed on to the module."),
		ageMedian:       gauge("intake_age_ms_p50", "Age of the figures passed on, median, since the start."),
		ageP99:          gauge("intake_age_ms_p99", "Age of the figures passed on, 99th percentile, since the start."),
		reportLines:     vec("intake_lines_total", "Report lines by what became of them."),
		messagesSent:    counter("channel_messages_total", "Messages that left the channel."),
		linesSent:       counter("channel_lines_total", "Lines that left the channel, heads included."),
		malformed:       vec("odd_inputs_total", "Inputs that could not be used, by reason."),
		closedStreams:   vec("streams_cut_total", "Streams ended by this pilot, by reason."),
		waitSeconds:     histogram("channel_wait_seconds", "Time from order to leaving the channel."),
		decideSeconds:   histogram("decide_seconds", "Time of the module for one turn of the loop."),
	}
}

func (m *Meter) setProxies(n int) {
	if m != nil {
		m.proxiesJoined.Set(float64(n))
	}
}

func (m *Meter) setWaiting(lines int, backlog float64) {
	if m == nil {
		return
	}
	m.waitingLines.Set(float64(lines))
	if backlog > 0 {
		m.backlogFraction.Set(float64(lines) / backlog)
	}
}

func (m *Meter) messageSent(o *wire.Orders, recent, most int) {
	if m == nil {
		return
	}
	m.messagesSent.Inc()
	m.linesSent.Add(float64(o.Lines))
	m.waitSeconds.Observe(o.AgeMs / 1000)
	if most > 0 {
		m.messageFraction.Set(float64(recent) / float64(most))
	}
}

// setIntake shows what became of report lines; counts are those since the start, by reason.
func (m *Meter) setIntake(counts []uint64, left int, ages *hdrhistogram.Histogram) {
	if m == nil {
		return
	}
	if m.reportedBefore == nil {
		m.reportedBefore = make([]uint64, len(counts))
	}
	for i, r := range intake.Reasons() {
		m.reportLines.WithLabelValues(r.String()).Add(float64(counts[i] - m.reportedBefore[i]))
		m.reportedBefore[i] = counts[i]
	}
	m.waitingSums.Set(float64(left))
	m.ageMedian.Set(float64(ages.ValueAtQuantile(50)))
	m.ageP99.Set(float64(ages.ValueAtQuantile(99)))
}

func (m *Meter) malformedInput(what string) {
	if m != nil {
		m.malformed.WithLabelValues(what).Inc()
	}
}

func (m *Meter) streamClosed(why string) {
	if m != nil {
		m.closedStreams.WithLabelValues(why).Inc()
	}
}

func (m *Meter) setInputs(inputs int) {
	if m != nil {
		m.turnInputs.Set(float64(inputs))
	}
}

// decide times the module.
func (m *Meter) decide(f func() []brain.Order) []brain.Order {
	if m == nil {
		return f()
	}
	start := time.Now()
	orders := f()
	took := time.Since(start)
	m.DecideTime += took
	m.decideSeconds.Observe(took.Seconds())
	return orders
}
