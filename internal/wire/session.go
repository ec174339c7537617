package wire

import "math"

// Hello opens a proxy's stream.
type Hello struct {
	Version int     `json:"Version"`
	Proxy   string  `json:"Proxy"`
	Zone    string  `json:"Zone"`
	Boot    uint64  `json:"Boot"`  // differs at each start of the proxy's process
	Rate    float64 `json:"Rate"`  // requests a second that the proxy ordinarily receives
	Fresh   bool    `json:"Fresh"` // the proxy has only its bootstrap table

	// Holds lists the endpoints in the proxy's tables.
	Holds []string `json:"Holds"`

	// Tables are the complete tables of the proxy's last stream. A table that is assigned again is sent as the lines that
	// differ from them.
	Tables []HeldTable `json:"Tables"`
}

// HeldTable is a table as a proxy has it.
type HeldTable struct {
	Table int        `json:"Table"`
	Lines []HeldLine `json:"Lines"`
}

// HeldLine is the weight of one endpoint in a table.
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

// Welcome accepts a Hello.
type Welcome struct {
	Version     int
	Pilot       string // name
	HeartbeatMs int    // heartbeat interval of both sides
	PeriodMs    int    // reporting interval
}

func (*Welcome) messageType() Type { return typeWelcome }

func (m *Welcome) encode(e *encoder) {
	e.varint(m.Version)
	e.text(m.Pilot)
	e.varint(m.HeartbeatMs)
	e.varint(m.PeriodMs)
}

func (m *Welcome) decode(d *decoder) {
	m.Version = d.count()
	m.Pilot = d.text()
	m.HeartbeatMs = d.count()
	m.PeriodMs = d.count()
}

// Refuse rejects a Hello, or ends a stream because of an error on it.
type Refuse struct{ Reason string }

func (*Refuse) messageType() Type { return typeRefuse }

func (m *Refuse) encode(e *encoder) { e.text(m.Reason) }

func (m *Refuse) decode(d *decoder) { m.Reason = d.text() }

// Beat is a heartbeat, sent when a side has nothing else to send. Seen is the number of the last frame of the other
// side that was processed: a proxy whose heartbeats arrive while its Seen doesn't advance has stopped reading.
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

// Redirect asks a proxy to connect to another pilot.
type Redirect struct{ Reason string }

func (*Redirect) messageType() Type { return typeRedirect }

func (m *Redirect) encode(e *encoder) { e.text(m.Reason) }

func (m *Redirect) decode(d *decoder) { m.Reason = d.text() }

// Bye announces that the sender closes the stream on purpose.
type Bye struct{}

func (*Bye) messageType() Type { return typeBye }

func (*Bye) encode(*encoder) {}

func (*Bye) decode(*decoder) {}
