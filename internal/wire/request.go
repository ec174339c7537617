package wire

// Req asks an endpoint, or a proxy in front of endpoints, for work. It belongs to the traffic of the testbed.
type Request struct {
	Number    uint64  // pairs it with its Answer on the connection
	RequestID uint64  // the same for all attempts of a request, so that a repeated effect is recognised
	Class     string  // request class
	From      string  // name of the sender
	Key       string  // in a deployment with slices
	WorkMs    float64 // time that it takes on a core of speed 1
	TimeoutMs float64 // for which the sender waits
}

func (*Request) messageType() Type { return typeRequest }

func (m *Request) encode(e *encoder) {
	e.uvarint(m.Number)
	e.uvarint(m.RequestID)
	e.text(m.Class)
	e.text(m.From)
	e.float(m.WorkMs)
	e.float(m.TimeoutMs)
	e.text(m.Key)
}

func (m *Request) decode(d *decoder) {
	m.Number = d.uvarint()
	m.RequestID = d.uvarint()
	m.Class = d.text()
	m.From = d.text()
	m.WorkMs = d.float()
	m.TimeoutMs = d.float()
	m.Key = d.text()
}

// Outcome is how an attempt ended.
type Outcome byte

// The outcomes of an Answer. Their values are part of the protocol.
const (
	Succeeded Outcome = 1
	Errored   Outcome = 2 // it was executed, or may have been, and failed
	Denied    Outcome = 3 // it was rejected before it was executed
)

// Answer ends a Req or a Probe.
type Response struct {
	Number       uint64
	Outcome      Outcome
	RetryAfterMs float64      // Denied: retry after this time
	Load         []LoadMetric // the endpoint's load report
}

func (*Response) messageType() Type { return typeResponse }

func (m *Response) encode(e *encoder) {
	e.uvarint(m.Number)
	e.byte(byte(m.Outcome))
	e.float(m.RetryAfterMs)
	e.loadMetrics(m.Load)
}

func (m *Response) decode(d *decoder) {
	m.Number = d.uvarint()
	m.Outcome = Outcome(d.byte())
	m.RetryAfterMs = d.float()
	if m.Outcome < Succeeded || m.Outcome > Denied {
		d.fail(ErrValue)
	}
	m.Load = d.loadMetrics()
}

// Probe is a health check: it asks an endpoint for a load report, which is answered without queueing.
type Probe struct{ Number uint64 }

func (*Probe) messageType() Type { return typeProbe }

func (m *Probe) encode(e *encoder) { e.uvarint(m.Number) }

func (m *Probe) decode(d *decoder) { m.Number = d.uvarint() }
