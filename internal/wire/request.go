package wire

// Request is an attempt of the testbed at an endpoint, or a request of a testbed client to a proxy.
type Request struct {
	Number    uint64  // identifies the Response on the same connection
	RequestID uint64  // equal for all attempts of a request, so that repeated execution can be detected
	Class     string  // name of the request class
	From      string  // name of the sender
	Key       string  // key that the request accesses, in a deployment with slices
	WorkMs    float64 // processing time on a core of speed 1, ms
	TimeoutMs float64 // time for which the sender waits for the response, ms
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

// Outcome is the result of a request or health check.
type Outcome byte

// The outcomes of a Response. The numbers are part of the protocol.
const (
	Succeeded Outcome = 1
	Errored   Outcome = 2 // it failed, and may have been executed
	Denied    Outcome = 3 // it was rejected without being executed
)

// Response answers a Request or a Probe.
type Response struct {
	Number       uint64
	Outcome      Outcome
	RetryAfterMs float64      // if Denied: time after which a retry is allowed, ms
	Load         []LoadMetric // load report of the endpoint
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

// Probe is a health check. The endpoint answers it with a load report, without queueing it behind requests.
type Probe struct{ Number uint64 }

func (*Probe) messageType() Type { return typeProbe }

func (m *Probe) encode(e *encoder) { e.uvarint(m.Number) }

func (m *Probe) decode(d *decoder) { m.Number = d.uvarint() }
