package record

import "math"

// AppendTurn appends the encoding of a turn to b. If an input can't be encoded, it returns b unchanged and an error.
func AppendTurn(b []byte, t *Turn) ([]byte, error) {
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

// DecodeTurns decodes consecutive turns that AppendTurn wrote. If the data is damaged, it returns the turns before the
// damage and an error that wraps ErrCorrupt.
func DecodeTurns(b []byte) ([]Turn, error) {
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

// turn decodes one turn. It stops at the first error, which it leaves in d.err.
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

// input encodes one input: its kind as one byte, followed by the fields of that kind.
func (e *encoder) input(in *Input) error {
	e.byte(byte(in.Kind))
	switch in.Kind {
	case KindProxyJoined, KindAcked, KindEndpointsListed, KindSliceAssigned:
		return e.message(in)
	case KindProxyLeft:
		e.uint(in.Stream)
	case KindEndpointListLost, KindCheckpoint: // no fields
	case KindGossip:
		e.gossip(in)
	case KindSettingsChanged:
		e.text(in.Text)
	case KindHealthChecked:
		e.healthCheck(in)
	case KindEndpointStats:
		return e.endpointStats(in.Event)
	case KindRequestStats:
		return e.requestStats(in.Event)
	case KindSliceStats:
		return e.sliceStats(in.Event)
	}
	return nil
}

// input decodes an input that encoder.input wrote. An unknown kind is an error.
func (d *decoder) input() Input {
	in := Input{Kind: Kind(d.byte())}
	switch in.Kind {
	case KindProxyJoined, KindAcked, KindEndpointsListed, KindSliceAssigned:
		d.message(&in)
	case KindProxyLeft:
		in.Stream = d.uint()
	case KindEndpointListLost, KindCheckpoint: // no fields
	case KindGossip:
		d.gossip(&in)
	case KindSettingsChanged:
		in.Text = d.text()
	case KindHealthChecked:
		d.healthCheck(&in)
	case KindEndpointStats:
		in.Event = d.endpointStats()
	case KindRequestStats:
		in.Event = d.requestStats()
	case KindSliceStats:
		in.Event = d.sliceStats()
	default:
		d.fail()
	}
	return in
}
