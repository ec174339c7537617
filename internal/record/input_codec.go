package record

import (
	"fmt"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// Each pair of functions encodes and decodes the fields of one kind of input, in the same order.

// message encodes a message of the wire protocol as the body that it has there, with the number of its stream.
func (e *encoder) message(in *Input) error {
	body, err := wire.Body(in.Message)
	if err != nil {
		return fmt.Errorf("lay out input: %w", err)
	}
	e.uint(in.Stream)
	e.text(string(body))
	return nil
}

func (d *decoder) message(in *Input) {
	in.Stream = d.uint()
	body := d.text()
	if d.err != nil {
		return
	}
	message := emptyMessage(in.Kind)
	if err := wire.Unbody(message, []byte(body)); err != nil {
		d.err = fmt.Errorf("%w: %w", ErrTorn, err)
		return
	}
	in.Message = message
}

// emptyMessage returns a message of the type that a kind of input brings, nil if it brings none.
func emptyMessage(k Kind) wire.Message {
	switch k {
	case Join:
		return &wire.Hello{}
	case Applied:
		return &wire.Done{}
	case Listed:
		return &wire.List{}
	case SliceGiven:
		return &wire.Slices{}
	}
	return nil
}

func (e *encoder) gossip(in *Input) {
	e.int(in.From)
	e.text(in.Text)
}

func (d *decoder) gossip(in *Input) {
	in.From = d.int()
	in.Text = d.text()
}

func (e *encoder) healthCheck(in *Input) {
	e.text(in.Text)
	e.text(in.Probe.Outcome)
	e.number(in.Probe.TookMs)
	e.load(in.Probe.Load)
}

func (d *decoder) healthCheck(in *Input) {
	in.Text = d.text()
	in.Probe.Outcome = d.text()
	in.Probe.TookMs = d.number()
	in.Probe.Load = d.load()
}

func (e *encoder) endpointStats(event planner.Note) error {
	m, ok := event.(planner.Met)
	if !ok {
		return fmt.Errorf("lay out %T as met", event)
	}
	e.int(m.Endpoint)
	e.int(m.Zone)
	e.int(m.Tries)
	e.int(m.Failed)
	e.number(m.MeanMs)
	e.number(m.SpanMs)
	e.load(m.Load)
	return nil
}

func (d *decoder) endpointStats() planner.Met {
	var m planner.Met
	m.Endpoint = d.int()
	m.Zone = d.int()
	m.Tries = d.int()
	m.Failed = d.int()
	m.MeanMs = d.number()
	m.SpanMs = d.number()
	m.Load = d.load()
	return m
}

func (e *encoder) requestStats(event planner.Note) error {
	s, ok := event.(planner.Demand)
	if !ok {
		return fmt.Errorf("lay out %T as demand", event)
	}
	e.int(s.Proxy)
	e.int(s.Kind)
	e.int(s.Reqs)
	e.int(s.Unanswered)
	e.number(s.SpanMs)
	return nil
}

func (d *decoder) requestStats() planner.Demand {
	var s planner.Demand
	s.Proxy = d.int()
	s.Kind = d.int()
	s.Reqs = d.int()
	s.Unanswered = d.int()
	s.SpanMs = d.number()
	return s
}

func (e *encoder) sliceStats(event planner.Note) error {
	s, ok := event.(planner.SliceDemand)
	if !ok {
		return fmt.Errorf("lay out %T as slice demand", event)
	}
	e.int(s.Slice)
	e.int(s.Kind)
	e.int(s.Reqs)
	e.int(s.Unanswered)
	e.number(s.SpanMs)
	return nil
}

func (d *decoder) sliceStats() planner.SliceDemand {
	var s planner.SliceDemand
	s.Slice = d.int()
	s.Kind = d.int()
	s.Reqs = d.int()
	s.Unanswered = d.int()
	s.SpanMs = d.number()
	return s
}

// load encodes a load report by name in sorted order, so that equal reports have equal bytes.
func (e *encoder) load(l planner.Load) {
	names := make([]string, 0, len(l))
	for name := range l {
		names = append(names, name)
	}
	slices.Sort(names)
	e.uint(uint64(len(names)))
	for _, name := range names {
		e.text(name)
		e.number(l[name])
	}
}

// load decodes a load report; an empty one is nil.
func (d *decoder) load() planner.Load {
	n := d.items()
	if n == 0 {
		return nil
	}
	l := planner.Load{}
	for range n {
		name := d.text()
		l[name] = d.number()
	}
	return l
}
