package record

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// Append lays a turn out behind what is in b already.
func Append(b []byte, t *Turn) ([]byte, error) {
	e := encoder{b}
	e.fixed64(t.AtMs)
	e.buf = binary.LittleEndian.AppendUint64(e.buf, t.Digest)
	e.uint(uint64(len(t.Inputs)))
	for i := range t.Inputs {
		if err := e.input(&t.Inputs[i]); err != nil {
			return b, err
		}
	}
	return e.buf, nil
}

// Turns takes apart what Append laid out.
func Turns(b []byte) (turns []Turn, err error) {
	d := decoder{buf: b}
	for len(d.buf) > 0 {
		t := Turn{AtMs: math.Float64frombits(d.fixed64()), Digest: d.fixed64()}
		n := d.uint()
		if n > uint64(len(d.buf)) {
			d.fail()
		}
		for range n {
			in := d.input()
			if d.err != nil {
				return turns, d.err
			}
			t.Inputs = append(t.Inputs, in)
		}
		if d.err != nil {
			return turns, d.err
		}
		turns = append(turns, t)
	}
	return turns, d.err
}

func (e *encoder) input(in *Input) error {
	e.buf = append(e.buf, byte(in.Kind))
	switch in.Kind {
	case Join, Applied, Listed, SliceGiven:
		body, err := wire.Body(in.Message)
		if err != nil {
			return fmt.Errorf("lay out input: %w", err)
		}
		e.uint(in.Stream)
		e.text(string(body))
	case Leave:
		e.uint(in.Stream)
	case Heard:
		e.int(in.From)
		e.text(in.Text)
	case Retermed:
		e.text(in.Text)
	case Probed:
		e.text(in.Text)
		e.text(in.Probe.Outcome)
		e.number(in.Probe.TookMs)
		e.load(in.Probe.Load)
	case Met:
		m, ok := in.Note.(brain.Met)
		if !ok {
			return fmt.Errorf("lay out %T as met", in.Note)
		}
		e.int(m.Endpoint)
		e.int(m.Zone)
		e.int(m.Tries)
		e.int(m.Failed)
		e.number(m.MeanMs)
		e.number(m.SpanMs)
		e.load(m.Load)
	case Demand:
		d, ok := in.Note.(brain.Demand)
		if !ok {
			return fmt.Errorf("lay out %T as demand", in.Note)
		}
		e.int(d.Proxy)
		e.int(d.Kind)
		e.int(d.Reqs)
		e.int(d.Unanswered)
		e.number(d.SpanMs)
	case SliceDemand:
		d, ok := in.Note.(brain.SliceDemand)
		if !ok {
			return fmt.Errorf("lay out %T as slice demand", in.Note)
		}
		e.int(d.Slice)
		e.int(d.Kind)
		e.int(d.Reqs)
		e.int(d.Unanswered)
		e.number(d.SpanMs)
	}
	return nil
}

func (d *decoder) input() (in Input) {
	if len(d.buf) == 0 {
		d.fail()
		return in
	}
	in.Kind = Kind(d.buf[0])
	d.buf = d.buf[1:]
	switch in.Kind {
	case Join, Applied, Listed, SliceGiven:
		in.Stream = d.uint()
		body := d.text()
		if d.err != nil {
			return in
		}
		blank := map[Kind]wire.Message{Join: &wire.Hello{}, Applied: &wire.Done{}, Listed: &wire.List{}, SliceGiven: &wire.Slices{}}[in.Kind]
		if err := wire.Unbody(blank, []byte(body)); err != nil {
			d.err = fmt.Errorf("%w: %w", ErrTorn, err)
			return in
		}
		in.Message = blank
	case Leave:
		in.Stream = d.uint()
	case Heard:
		in.From, in.Text = d.int(), d.text()
	case Retermed:
		in.Text = d.text()
	case Probed:
		in.Text = d.text()
		in.Probe = brain.Probed{Outcome: d.text(), TookMs: d.number(), Load: d.load()}
	case Met:
		in.Note = brain.Met{Endpoint: d.int(), Zone: d.int(), Tries: d.int(), Failed: d.int(), MeanMs: d.number(),
			SpanMs: d.number(), Load: d.load()}
	case Demand:
		in.Note = brain.Demand{Proxy: d.int(), Kind: d.int(), Reqs: d.int(), Unanswered: d.int(), SpanMs: d.number()}
	case SliceDemand:
		in.Note = brain.SliceDemand{Slice: d.int(), Kind: d.int(), Reqs: d.int(), Unanswered: d.int(), SpanMs: d.number()}
	case ListLost, Checkpoint:
	default:
		d.fail()
	}
	return in
}

func (e *encoder) load(l brain.Load) {
	names := make([]string, 0, len(l))
	for n := range l {
		names = append(names, n)
	}
	slices.Sort(names)
	e.uint(uint64(len(names)))
	for _, n := range names {
		e.text(n)
		e.number(l[n])
	}
}

func (d *decoder) load() brain.Load {
	n := d.uint()
	if n > uint64(len(d.buf)) {
		d.fail()
		return nil
	}
	if n == 0 {
		return nil
	}
	l := brain.Load{}
	for range n {
		name := d.text()
		l[name] = d.number()
	}
	return l
}
