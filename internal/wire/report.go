package wire

// LoadReport is the report of a proxy about its traffic since its previous report.
type LoadReport struct {
	Seq           uint64  // sequence number of the report in its stream, from 1
	AtMs          float64 // time of sending, ms on the proxy's clock, which need not agree with the receiver's
	SpanMs        float64 // length of the reported period, ms
	EndpointStats []EndpointStats
	RequestStats  []RequestStats
	SliceStats    []SliceStats // empty in a deployment without slices
}

// EndpointStats holds the statistics of a proxy's attempts at one endpoint.
type EndpointStats struct {
	Endpoint string
	Attempts int
	Failed   int          // number of failed attempts
	MeanMs   float64      // mean duration of successful attempts
	Load     []LoadMetric // last load report that a response of the endpoint contained
}

// LoadMetric is one value of the load report of an endpoint, such as its utilization.
type LoadMetric struct {
	Name  string
	Value float64
}

// RequestStats counts the requests of one class that a proxy received, and those that it did not answer.
type RequestStats struct {
	Class      string
	Requests   int
	Unanswered int
}

// SliceStats counts the requests of one class for the keys of one slice, and those that were not answered.
type SliceStats struct {
	Slice      int
	Class      string
	Requests   int
	Unanswered int
}

func (*LoadReport) messageType() Type { return typeLoadReport }

func (m *LoadReport) encode(e *encoder) {
	e.uvarint(m.Seq)
	e.float(m.AtMs)
	e.float(m.SpanMs)
	e.length(len(m.EndpointStats))
	for i := range m.EndpointStats {
		e.endpointStats(&m.EndpointStats[i])
	}
	e.length(len(m.RequestStats))
	for _, stats := range m.RequestStats {
		e.text(stats.Class)
		e.varint(stats.Requests)
		e.varint(stats.Unanswered)
	}
	e.length(len(m.SliceStats))
	for _, stats := range m.SliceStats {
		e.varint(stats.Slice)
		e.text(stats.Class)
		e.varint(stats.Requests)
		e.varint(stats.Unanswered)
	}
}

func (m *LoadReport) decode(d *decoder) {
	m.Seq = d.uvarint()
	m.AtMs = d.float()
	m.SpanMs = d.float()
	m.EndpointStats = decodeList(d, (*decoder).endpointStats)
	m.RequestStats = decodeList(d, (*decoder).requestStats)
	m.SliceStats = decodeList(d, (*decoder).sliceStats)
}

func (e *encoder) endpointStats(m *EndpointStats) {
	e.text(m.Endpoint)
	e.varint(m.Attempts)
	e.varint(m.Failed)
	e.float(m.MeanMs)
	e.loadMetrics(m.Load)
}

func (d *decoder) endpointStats() EndpointStats {
	m := EndpointStats{
		Endpoint: d.text(),
		Attempts: d.count(),
		Failed:   d.count(),
		MeanMs:   d.float(),
		Load:     d.loadMetrics(),
	}
	if m.Failed > m.Attempts {
		d.fail(ErrValue)
	}
	return m
}

func (d *decoder) requestStats() RequestStats {
	return RequestStats{Class: d.text(), Requests: d.count(), Unanswered: d.count()}
}

func (d *decoder) sliceStats() SliceStats {
	return SliceStats{Slice: d.count(), Class: d.text(), Requests: d.count(), Unanswered: d.count()}
}

func (e *encoder) loadMetrics(metrics []LoadMetric) {
	e.length(len(metrics))
	for _, metric := range metrics {
		e.text(metric.Name)
		e.float(metric.Value)
	}
}

func (d *decoder) loadMetrics() []LoadMetric { return decodeList(d, (*decoder).loadMetric) }

func (d *decoder) loadMetric() LoadMetric {
	return LoadMetric{Name: d.text(), Value: d.float()}
}

// Pace asks a proxy to change how often and how much it reports.
type Pace struct {
	PeriodMs    int  // interval between reports, ms
	MaxLines    int  // largest number of elements of LoadReport.EndpointStats; 0: no limit
	ChangedOnly bool // report only endpoints whose statistics have changed
}

func (*Pace) messageType() Type { return typePace }

func (m *Pace) encode(e *encoder) {
	e.varint(m.PeriodMs)
	e.varint(m.MaxLines)
	e.bool(m.ChangedOnly)
}

func (m *Pace) decode(d *decoder) {
	m.PeriodMs = d.count()
	m.MaxLines = d.count()
	m.ChangedOnly = d.bool()
}
