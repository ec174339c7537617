package controller

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"indigousher/internal/wire"
	"indigousher/planner"
	"indigousher/telemetry"
)

// Metrics holds the runtime's metrics. A nil Meter counts nothing.
type Metrics struct {
	proxies, lines, nearBacklog, nearMessages prometheus.Gauge
	messages, linesSent                       prometheus.Counter
	odd, cut                                  *prometheus.CounterVec
	inbox                                     prometheus.Gauge
	waited, decided                           prometheus.Histogram
	standing, ageMid, ageWorst                prometheus.Gauge
	reported                                  *prometheus.CounterVec
	counted                                   []uint64
	DecideTime                                time.Duration // the module's own, all in all
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
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
	return &Metrics{
		proxies:      gauge("proxies_joined", "Proxies with a stream to this pilot."),
		lines:        gauge("channel_lines", "Lines that wait in the channel, heads included."),
		nearBacklog:  gauge("channel_backlog_part", "Waiting lines as a part of the backlog's limit."),
		nearMessages: gauge("proxy_messages_part", "Messages to the proxy last written to, as a part of their limit."),
		inbox:        gauge("inbox_inputs", "Inputs taken in by the last turn of the loop."),
		standing:     gauge("intake_standing", "Sums that wait to be passed on to the module."),
		ageMid:       gauge("intake_age_ms_p50", "Age of the figures passed on, median, since the start."),
		ageWorst:     gauge("intake_age_ms_p99", "Age of the figures passed on, 99th percentile, since the start."),
		reported:     vec("intake_lines_total", "Report lines by what became of them."),
		messages:     counter("channel_messages_total", "Messages that left the channel."),
		linesSent:    counter("channel_lines_total", "Lines that left the channel, heads included."),
		odd:          vec("odd_inputs_total", "Inputs that could not be used, by reason."),
		cut:          vec("streams_cut_total", "Streams ended by this pilot, by reason."),
		waited:       histogram("channel_wait_seconds", "Time from order to leaving the channel."),
		decided:      histogram("decide_seconds", "Time of the module for one turn of the loop."),
	}
}

func (m *Metrics) joined(n int) {
	if m != nil {
		m.proxies.Set(float64(n))
	}
}

func (m *Metrics) waiting(lines int, backlog float64) {
	if m == nil {
		return
	}
	m.lines.Set(float64(lines))
	if backlog > 0 {
		m.nearBacklog.Set(float64(lines) / backlog)
	}
}

func (m *Metrics) sent(o *wire.Orders, recent, most int) {
	if m == nil {
		return
	}
	m.messages.Inc()
	m.linesSent.Add(float64(o.Lines))
	m.waited.Observe(o.AgeMs / 1000)
	if most > 0 {
		m.nearMessages.Set(float64(recent) / float64(most))
	}
}

// intake shows what became of report lines; counts are those since the start, by reason.
func (m *Metrics) intake(counts []uint64, left int, ages *hdrhistogram.Histogram) {
	if m == nil {
		return
	}
	if m.counted == nil {
		m.counted = make([]uint64, len(counts))
	}
	for i, r := range telemetry.Reasons() {
		m.reported.WithLabelValues(r.String()).Add(float64(counts[i] - m.counted[i]))
		m.counted[i] = counts[i]
	}
	m.standing.Set(float64(left))
	m.ageMid.Set(float64(ages.ValueAtQuantile(50)))
	m.ageWorst.Set(float64(ages.ValueAtQuantile(99)))
}

func (m *Metrics) oddity(what string) {
	if m != nil {
		m.odd.WithLabelValues(what).Inc()
	}
}

func (m *Metrics) cutOff(why string) {
	if m != nil {
		m.cut.WithLabelValues(why).Inc()
	}
}

func (m *Metrics) took(inputs int) {
	if m != nil {
		m.inbox.Set(float64(inputs))
	}
}

// decide times the module.
func (m *Metrics) decide(f func() []planner.Command) []planner.Command {
	if m == nil {
		return f()
	}
	start := time.Now()
	orders := f()
	took := time.Since(start)
	m.DecideTime += took
	m.decided.Observe(took.Seconds())
	return orders
}
