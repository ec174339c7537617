package wire

// Slices notifies a pilot that a slice of the keys has been assigned to it, with the stored weights of the slice, or
// that the assignment has ended.
type Slices struct {
	Slice int        `json:"Slice"`
	Given bool       `json:"Given"` // true: assigned; false: the assignment has ended
	Lines []HeldLine `json:"Lines"`
	From  string     `json:"From"` // first key of the slice
	To    string     `json:"To"`   // end of the slice, exclusive; "": no end
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

// checkRange sets an error if the range of keys is empty. An empty to means that the range has no end.
func checkRange(d *decoder, from, to string) {
	if to != "" && to <= from {
		d.fail(ErrValue)
	}
}
