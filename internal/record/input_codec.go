package record

import (
	"fmt"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// Each pair of methods encodes and decodes the fields of one kind of input, in the same order.

// message encodes the number of an input's stream and the input's message, in the encoding of the wire protocol.
func (e *encoder) message(in *Input) error {
	body, err := wire.EncodeBody(in.Message)
	if err != nil {
		return fmt.Errorf("encode message of input: %w", err)
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
	if err := wire.DecodeBody(message, []byte(body)); err != nil {
		d.err = fmt.Errorf("%w: decode message of input: %w", ErrCorrupt, err)
		return
	}
	in.Message = message
}

// emptyMessage returns an empty message of the type that a kind of input carries, or nil if it carries none.
func emptyMessage(k Kind) wire.Message {
	switch k {
	case KindProxyJoined:
		return &wire.Hello{}
	case KindAcked:
		return &wire.Done{}
	case KindEndpointsListed:
		return &wire.List{}
	case KindSliceAssigned:
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
	e.text(in.HealthCheck.Outcome)
	e.number(in.HealthCheck.TookMs)
	e.load(in.HealthCheck.Load)
}

func (d *decoder) healthCheck(in *Input) {
	in.Text = d.text()
	in.HealthCheck.Outcome = d.text()
	in.HealthCheck.TookMs = d.number()
	in.HealthCheck.Load = d.load()
}

func (e *encoder) endpointStats(event planner.Event) error {
	m, ok := event.(planner.EndpointStats)
	if !ok {
		return fmt.Errorf("encode input: %T is not endpoint stats", event)
	}
	e.int(m.Endpoint)
	e.int(m.Zone)
	e.int(m.Attempts)
	e.int(m.Failed)
	e.number(m.MeanMs)
	e.number(m.SpanMs)
	e.load(m.Load)
	return nil
}

func (d *decoder) endpointStats() planner.EndpointStats {
	var m planner.EndpointStats
	m.Endpoint = d.int()
	m.Zone = d.int()
	m.Attempts = d.int()
	m.Failed = d.int()
	m.MeanMs = d.number()
	m.SpanMs = d.number()
	m.Load = d.load()
	return m
}

func (e *encoder) requestStats(event planner.Event) error {
	s, ok := event.(planner.RequestStats)
	if !ok {
		return fmt.Errorf("encode input: %T is not request stats", event)
	}
	e.int(s.Proxy)
	e.int(s.Class)
	e.int(s.Requests)
	e.int(s.Unanswered)
	e.number(s.SpanMs)
	return nil
}

func (d *decoder) requestStats() planner.RequestStats {
	var s planner.RequestStats
	s.Proxy = d.int()
	s.Class = d.int()
	s.Requests = d.int()
	s.Unanswered = d.int()
	s.SpanMs = d.number()
	return s
}

func (e *encoder) sliceStats(event planner.Event) error {
	s, ok := event.(planner.SliceStats)
	if !ok {
		return fmt.Errorf("encode input: %T is not slice stats", event)
	}
	e.int(s.Slice)
	e.int(s.Class)
	e.int(s.Requests)
	e.int(s.Unanswered)
	e.number(s.SpanMs)
	return nil
}

func (d *decoder) sliceStats() planner.SliceStats {
	var s planner.SliceStats
	s.Slice = d.int()
	s.Class = d.int()
	s.Requests = d.int()
	s.Unanswered = d.int()
	s.SpanMs = d.number()
	return s
}

// load encodes a load report sorted by name, so that equal reports have equal encodings.
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

// load decodes a load report. An empty report gives nil.
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
