package wire

// Sums is a proxy's report on what happened since its last one.
type LoadReport struct {
	Seq           uint64  // number of the report in its stream, from 1
	AtMs          float64 // on the proxy's own clock, of which only differences have a meaning
	SpanMs        float64 // time that the report covers
	EndpointStats []EndpointStats
	RequestStats  []RequestStats
	SliceStats    []SliceStats // only in a deployment with slices
}

// Met sums a proxy's attempts at one endpoint.
type EndpointStats struct {
	Endpoint string
	Attempts int
	Failed   int // of Tries
	MeanMs   float64
	Load     []LoadMetric // the last load report among the answers
}

// Figure is one value of a load report.
type LoadMetric struct {
	Name  string
	Value float64
}

// Demand sums the requests of one class that a proxy received.
type RequestStats struct {
	Class      string
	Requests   int
	Unanswered int
}

// SliceLoad sums the requests of one class for the keys of one slice.
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
	for _, demand := range m.RequestStats {
		e.text(demand.Class)
		e.varint(demand.Requests)
		e.varint(demand.Unanswered)
	}
	e.length(len(m.SliceStats))
	for _, load := range m.SliceStats {
		e.varint(load.Slice)
		e.text(load.Class)
		e.varint(load.Requests)
		e.varint(load.Unanswered)
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
	m := EndpointStats{Endpoint: d.text(), Attempts: d.count(), Failed: d.count(), MeanMs: d.float(), Load: d.loadMetrics()}
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

func (e *encoder) loadMetrics(figures []LoadMetric) {
	e.length(len(figures))
	for _, figure := range figures {
		e.text(figure.Name)
		e.float(figure.Value)
	}
}

func (d *decoder) loadMetrics() []LoadMetric { return decodeList(d, (*decoder).loadMetric) }

func (d *decoder) loadMetric() LoadMetric {
	return LoadMetric{Name: d.text(), Value: d.float()}
}

// Pace asks a proxy to change its reporting.
type Pace struct {
	PeriodMs    int  // reporting interval
	MaxLines    int  // most elements of Sums.Met in a report; 0: all
	ChangedOnly bool // only elements that have changed
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
