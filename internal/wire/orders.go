package wire

// AllTables is the table number in an OpSetAdmission that applies to all tables.
const AllTables = 65535

// Commands contains operations that a pilot sends to a proxy, to be applied in order.
type Commands struct {
	AtMs      float64 // time at which the planner issued the operations, ms on the pilot's clock
	AgeMs     float64 // time that the message was queued at the pilot, ms
	CostLines int     // cost of the message for flow control, in lines including message overhead
	Ops       []Op
}

func (*Commands) messageType() Type { return typeCommands }

func (m *Commands) encode(e *encoder) {
	e.float(m.AtMs)
	e.float(m.AgeMs)
	e.varint(m.CostLines)
	e.length(len(m.Ops))
	for i := range m.Ops {
		m.Ops[i].encode(e)
	}
}

func (m *Commands) decode(d *decoder) {
	m.AtMs = d.float()
	m.AgeMs = d.float()
	m.CostLines = d.count()
	m.Ops = decodeList(d, decodeOp)
}

// OpKind is the type of an operation in Commands.
type OpKind byte

// The types of operations. The numbers are part of the protocol.
const (
	OpAssignTable  OpKind = 1 // assign a table to the request classes in Op.Classes and reset the table
	OpSetWeight    OpKind = 2 // set the weight of an endpoint in a table; weight 0 removes the endpoint
	OpClearTable   OpKind = 3 // remove all weights and admission levels of a table
	OpSetExcluded  OpKind = 4 // exclude an endpoint from all tables if Op.Remove is set, otherwise end its exclusion
	OpSetAdmission OpKind = 5 // set the admission level and the retry policy of the request classes in Op.Classes
	OpAckRequest   OpKind = 6 // request a Done message
	OpAssignRange  OpKind = 7 // assign a table to a range of keys and reset it, or remove the assignment if Op.Remove is set
)

// Op is one operation in Commands. Kind determines which of the other fields are used and encoded.
type Op struct {
	Kind      OpKind
	Table     int
	Classes   int // bit mask of request class indices
	Endpoint  string
	Weight    float64 // OpSetWeight: weight of the endpoint; OpSetAdmission: admission level
	RetryMode int     // OpSetAdmission: number of the retry policy
	Remove    bool    // OpSetExcluded: exclude the endpoint; OpAssignRange: remove the assignment
	AckNumber int     // OpAckRequest: number to return in Done.Mark
	KeepLines bool    // OpAssignTable: do not reset the table, but keep the weights that the proxy's Hello listed
	From      string  // OpAssignRange: first key of the range
	To        string  // OpAssignRange: end of the range, exclusive; "": no end
}

// encode encodes the operation with the fields that its kind uses.
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

// decodeOp decodes an operation. An unknown kind is an error.
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

// Done acknowledges that a proxy has applied all operations up to an OpAckRequest.
type Done struct {
	Mark   int     `json:"Mark"`   // Op.AckNumber of the request
	TookMs float64 `json:"TookMs"` // time from the arrival of the request until all operations were applied, ms
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
