package wire

// Slices notifies a pilot that the store has assigned a key slice to it, with the stored lines of the slice, or has
// taken the slice away.
type Slices struct {
	Slice int        `json:"Slice"`
	Given bool       `json:"Given"` // assigned, not taken away
	Lines []HeldLine `json:"Lines"`
	From  string     `json:"From"` // first key of the slice
	To    string     `json:"To"`   // exclusive; "": no end
}

func (*Slices) messageType() Type { return typeSlices }

func (m *Slices) encode(e *encoder) {
	e.varint(m.Slice)
	e.bool(m.Given)
	e.heldLines(m.Lines)
	e.text(m.From)
	e.text(m.To)
}

func (m *Slices) decode(d *decoder) {
	m.Slice = d.count()
	m.Given = d.bool()
	m.Lines = d.heldLines()
	m.From = d.text()
	m.To = d.text()
	checkRange(d, m.From, m.To)
}

// checkRange rejects a range that holds no key.
func checkRange(d *decoder, from, to string) {
	if to != "" && to <= from {
		d.fail(ErrValue)
	}
}
