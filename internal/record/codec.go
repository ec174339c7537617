package record

import "math"

// Append encodes a turn and appends it to b. If an input can't be encoded, b is returned as it was.
func Append(b []byte, t *Turn) ([]byte, error) {
	e := encoder{b}
	e.fixed64(math.Float64bits(t.AtMs))
	e.fixed64(t.Digest)
	e.uint(uint64(len(t.Inputs)))
	for i := range t.Inputs {
		if err := e.input(&t.Inputs[i]); err != nil {
			return b, err
		}
	}
	return e.buf, nil
}

// Turns decodes turns that Append put one behind another. With an error, which is ErrTorn, it returns those before it.
func Turns(b []byte) ([]Turn, error) {
	d := decoder{buf: b}
	var turns []Turn
	for len(d.buf) > 0 {
		t := d.turn()
		if d.err != nil {
			return turns, d.err
		}
		turns = append(turns, t)
	}
	return turns, nil
}

// turn decodes one turn; it stops at the first error.
func (d *decoder) turn() Turn {
	var t Turn
	t.AtMs = math.Float64frombits(d.fixed64())
	t.Digest = d.fixed64()
	for range d.items() {
		in := d.input()
		if d.err != nil {
			return t
		}
		t.Inputs = append(t.Inputs, in)
	}
	return t
}

// input encodes one input: its kind as a byte, then the fields of that kind.
func (e *encoder) input(in *Input) error {
	e.byte(byte(in.Kind))
	switch in.Kind {
	case Join, Applied, Listed, SliceGiven:
		return e.message(in)
	case Leave:
		e.uint(in.Stream)
	case ListLost, Checkpoint: // no fields
	case Heard:
		e.gossip(in)
	case Retermed:
		e.text(in.Text)
	case Probed:
		e.healthCheck(in)
	case Met:
		return e.endpointStats(in.Note)
	case Demand:
		return e.requestStats(in.Note)
	case SliceDemand:
		return e.sliceStats(in.Note)
	}
	return nil
}

// input decodes what encoder.input wrote.
func (d *decoder) input() Input {
	in := Input{Kind: Kind(d.byte())}
	switch in.Kind {
	case Join, Applied, Listed, SliceGiven:
		d.message(&in)
	case Leave:
		in.Stream = d.uint()
	case ListLost, Checkpoint: // no fields
	case Heard:
		d.gossip(&in)
	case Retermed:
		in.Text = d.text()
	case Probed:
		d.healthCheck(&in)
	case Met:
		in.Note = d.endpointStats()
	case Demand:
		in.Note = d.requestStats()
	case SliceDemand:
		in.Note = d.sliceStats()
	default:
		d.fail()
	}
	return in
}
