package wire

import "math"

// Hello is the first message of a proxy on a stream to a pilot.
type Hello struct {
	Version int     `json:"Version"` // protocol version, see the constant Version
	Proxy   string  `json:"Proxy"`
	Zone    string  `json:"Zone"`
	Boot    uint64  `json:"Boot"`  // differs for each start of the proxy's process
	Rate    float64 `json:"Rate"`  // usual number of requests per second that the proxy receives
	Fresh   bool    `json:"Fresh"` // the proxy has no table other than its bootstrap table

	// Holds lists the endpoints in all tables of the proxy.
	Holds []string `json:"Holds"`

	// Tables contains the complete tables that the proxy received on its previous stream. If the pilot assigns one of
	// them again, it sends only the differences.
	Tables []HeldTable `json:"Tables"`
}

// HeldTable is a routing table that a proxy already has.
type HeldTable struct {
	Table int        `json:"Table"`
	Lines []HeldLine `json:"Lines"`
}

// HeldLine is the weight of one endpoint in a routing table.
type HeldLine struct {
	Endpoint string  `json:"Endpoint"`
	Weight   float64 `json:"Weight"`
}

func (*Hello) messageType() Type { return typeHello }

func (m *Hello) encode(e *encoder) {
	e.varint(m.Version)
	e.text(m.Proxy)
	e.text(m.Zone)
	e.uvarint(m.Boot)
	e.float(m.Rate)
	e.bool(m.Fresh)
	e.texts(m.Holds)
	e.length(len(m.Tables))
	for _, table := range m.Tables {
		e.varint(table.Table)
		e.heldLines(table.Lines)
	}
}

func (m *Hello) decode(d *decoder) {
	m.Version = d.count()
	m.Proxy = d.text()
	m.Zone = d.text()
	m.Boot = d.uvarint()
	m.Rate = d.float()
	m.Fresh = d.bool()
	m.Holds = d.texts()
	m.Tables = decodeList(d, (*decoder).heldTable)
	if d.err == nil && (m.Proxy == "" || m.Zone == "") {
		d.fail(ErrValue)
	}
}

func (d *decoder) heldTable() HeldTable {
	return HeldTable{Table: d.count(), Lines: d.heldLines()}
}

func (e *encoder) heldLines(lines []HeldLine) {
	e.length(len(lines))
	for _, line := range lines {
		e.text(line.Endpoint)
		e.float(line.Weight)
	}
}

func (d *decoder) heldLines() []HeldLine { return decodeList(d, (*decoder).heldLine) }

func (d *decoder) heldLine() HeldLine {
	return HeldLine{Endpoint: d.text(), Weight: d.float()}
}

// Welcome is the answer to a Hello that the pilot accepts.
type Welcome struct {
	Version        int
	Pilot          string // name of the pilot
	HeartbeatMs    int    // interval of heartbeats in both directions, ms
	ReportPeriodMs int    // interval between load reports, ms
}

func (*Welcome) messageType() Type { return typeWelcome }

func (m *Welcome) encode(e *encoder) {
	e.varint(m.Version)
	e.text(m.Pilot)
	e.varint(m.HeartbeatMs)
	e.varint(m.ReportPeriodMs)
}

func (m *Welcome) decode(d *decoder) {
	m.Version = d.count()
	m.Pilot = d.text()
	m.HeartbeatMs = d.count()
	m.ReportPeriodMs = d.count()
}

// Refuse rejects a Hello, or announces that the sender closes the stream because of an error.
type Refuse struct{ Reason string }

func (*Refuse) messageType() Type { return typeRefuse }

func (m *Refuse) encode(e *encoder) { e.text(m.Reason) }

func (m *Refuse) decode(d *decoder) { m.Reason = d.text() }

// Heartbeat is sent periodically in both directions. LastProcessed is the sequence number of the last frame of the peer
// that the sender has processed. A proxy whose heartbeats arrive while LastProcessed does not advance has stopped
// processing messages.
type Heartbeat struct{ LastProcessed uint32 }

func (*Heartbeat) messageType() Type { return typeHeartbeat }

func (m *Heartbeat) encode(e *encoder) { e.uvarint(uint64(m.LastProcessed)) }

func (m *Heartbeat) decode(d *decoder) {
	v := d.uvarint()
	if v > math.MaxUint32 {
		d.fail(ErrValue)
	}
	m.LastProcessed = uint32(v)
}

// Redirect asks a proxy to close the stream and connect to another pilot.
type Redirect struct{ Reason string }

func (*Redirect) messageType() Type { return typeRedirect }

func (m *Redirect) encode(e *encoder) { e.text(m.Reason) }

func (m *Redirect) decode(d *decoder) { m.Reason = d.text() }

// Bye announces that the sender closes the stream intentionally.
type Bye struct{}

func (*Bye) messageType() Type { return typeBye }

func (*Bye) encode(*encoder) {}

func (*Bye) decode(*decoder) {}
