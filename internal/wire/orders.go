package wire

// EveryTable is the table number of an OpAdmit that applies to all tables.
const AllTables = 65535

// Orders is a message of operations from a pilot to a proxy.
type Commands struct {
	AtMs  float64 // when the planner issued it, on the pilot's clock
	AgeMs float64 // time that it waited in the pilot's channel
	Lines int     // its cost in the channel, in lines, heads included
	Ops   []Op
}

func (*Commands) messageType() Type { return typeCommands }

func (m *Commands) encode(e *encoder) {
	e.float(m.AtMs)
	e.float(m.AgeMs)
	e.varint(m.Lines)
	e.length(len(m.Ops))
	for i := range m.Ops {
		m.Ops[i].encode(e)
	}
}

func (m *Commands) decode(d *decoder) {
	m.AtMs = d.float()
	m.AgeMs = d.float()
	m.Lines = d.count()
	m.Ops = decodeList(d, decodeOp)
}

// OpKind is the type of an operation.
type OpKind byte

// The types of operations. Their values are part of the protocol.
const (
	OpAssignTable  OpKind = 1 // assign a table to the classes Kinds and reset it; OpSet and OpAdmit follow
	OpSetWeight    OpKind = 2 // set the weight of an endpoint in a table; 0 removes it
	OpClearTable   OpKind = 3 // remove the lines and levels of a table
	OpSetExcluded  OpKind = 4 // exclude an endpoint (Out) or let it in again
	OpSetAdmission OpKind = 5 // set the admission level and the retry policy of the classes Kinds
	OpAckRequest   OpKind = 6 // answer with Done
	OpAssignRange  OpKind = 7 // assign a table to the keys from From to To and reset it; Out: remove the assignment
)

// Op is one operation of Orders. Kind decides which of the other fields are used and encoded.
type Op struct {
	Kind      OpKind
	Table     int
	Classes   int // bit mask of request classes
	Endpoint  string
	Weight    float64 // OpSet: weight; OpAdmit: admission level
	RetryMode int     // OpAdmit: retry policy
	Remove    bool
	AckNumber int  // OpMark: number of the mark
	KeepLines bool // OpBind: the lines that the proxy's Hello listed stay, the lines that follow change them
	From      string
	To        string // exclusive; "": no end
}

func (o *Op) encode(e *encoder) {
	e.byte(byte(o.Kind))
	switch o.Kind {
	case OpAssignTable:
		e.varint(o.Table)
		e.varint(o.Classes)
		e.bool(o.KeepLines)
	case OpSetWeight:
		e.varint(o.Table)
		e.text(o.Endpoint)
		e.float(o.Weight)
	case OpClearTable:
		e.varint(o.Table)
	case OpSetExcluded:
		e.text(o.Endpoint)
		e.bool(o.Remove)
	case OpSetAdmission:
		e.varint(o.Table)
		e.varint(o.Classes)
		e.float(o.Weight)
		e.varint(o.RetryMode)
	case OpAckRequest:
		e.varint(o.AckNumber)
	case OpAssignRange:
		e.varint(o.Table)
		e.text(o.From)
		e.text(o.To)
		e.bool(o.Remove)
	}
}

func decodeOp(d *decoder) Op {
	o := Op{Kind: OpKind(d.byte())}
	switch o.Kind {
	case OpAssignTable:
		o.Table = d.count()
		o.Classes = d.count()
		o.KeepLines = d.bool()
	case OpSetWeight:
		o.Table = d.count()
		o.Endpoint = d.text()
		o.Weight = d.float()
	case OpClearTable:
		o.Table = d.count()
	case OpSetExcluded:
		o.Endpoint = d.text()
		o.Remove = d.bool()
	case OpSetAdmission:
		o.Table = d.count()
		o.Classes = d.count()
		o.Weight = d.float()
		o.RetryMode = d.count()
	case OpAckRequest:
		o.AckNumber = d.count()
	case OpAssignRange:
		o.Table = d.count()
		o.From = d.text()
		o.To = d.text()
		o.Remove = d.bool()
		checkRange(d, o.From, o.To)
	default:
		d.fail(ErrValue)
	}
	return o
}

// Done acknowledges that a proxy has applied everything up to a mark.
type Done struct {
	Mark   int     `json:"Mark"`
	TookMs float64 `json:"TookMs"` // from the arrival of the mark until everything was applied
}

func (*Done) messageType() Type { return typeDone }

func (m *Done) encode(e *encoder) {
	e.varint(m.Mark)
	e.float(m.TookMs)
}

func (m *Done) decode(d *decoder) {
	m.Mark = d.count()
	m.TookMs = d.float()
}
