package wire

// ListRequest requests the endpoint list, or changes to it, from the source of the list.
type ListRequest struct {
	Pilot string // name of the requesting pilot
	Watch bool   // send changes of the list from now on
	Whole bool   // send the complete list once
}

func (*ListRequest) messageType() Type { return typeListRequest }

func (m *ListRequest) encode(e *encoder) {
	e.text(m.Pilot)
	e.bool(m.Watch)
	e.bool(m.Whole)
}

func (m *ListRequest) decode(d *decoder) {
	m.Pilot = d.text()
	m.Watch = d.bool()
	m.Whole = d.bool()
}

// List contains the endpoint list or changes to it.
type List struct {
	Version int     `json:"Version"`
	Now     uint64  `json:"Now"`   // time of sending, ms on the clock of the list source
	Whole   bool    `json:"Whole"` // the list is complete; an endpoint without an entry is gone
	Entries []Entry `json:"Entries"`
}

// Phases of an endpoint, the values of Entry.Phase. The numbers are part of the protocol.
const (
	PhaseReady    = 0
	PhaseDraining = 1
	PhaseGone     = 2
)

// Entry describes one endpoint of a List. Phase is one of the Phase constants.
type Entry struct {
	Endpoint string  `json:"Endpoint"`
	Zone     string  `json:"Zone"`
	Machine  string  `json:"Machine"`
	Cell     int     `json:"Cell"`
	Phase    int     `json:"Phase"`
	Weight   float64 `json:"Weight"`

	// Started is the start of the endpoint's process in ms on the clock of the list source, or 0 if it was long
	// ago or is unknown. Receivers use only its difference from List.Now, so that their clocks need not agree with that
	// of the source.
	Started uint64 `json:"Started"`
}

func (*List) messageType() Type { return typeList }

func (m *List) encode(e *encoder) {
	e.varint(m.Version)
	e.uvarint(m.Now)
	e.bool(m.Whole)
	e.length(len(m.Entries))
	for i := range m.Entries {
		m.Entries[i].encode(e)
	}
}

func (m *List) decode(d *decoder) {
	m.Version = d.count()
	m.Now = d.uvarint()
	m.Whole = d.bool()
	m.Entries = decodeList(d, decodeEntry)
}

func (e *Entry) encode(to *encoder) {
	to.text(e.Endpoint)
	to.text(e.Zone)
	to.text(e.Machine)
	to.varint(e.Cell)
	to.varint(e.Phase)
	to.float(e.Weight)
	to.uvarint(e.Started)
}

func decodeEntry(d *decoder) Entry {
	e := Entry{
		Endpoint: d.text(),
		Zone:     d.text(),
		Machine:  d.text(),
		Cell:     d.count(),
		Phase:    d.count(),
		Weight:   d.float(),
		Started:  d.uvarint(),
	}
	if e.Phase > PhaseGone || e.Endpoint == "" {
		d.fail(ErrValue)
	}
	return e
}
