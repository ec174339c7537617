package record

import (
	"encoding/json"
	"fmt"

	"indigousher/brain"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// maxTimeMs is beyond every time of a life, in ms.
const maxTimeMs = 1e14

// replayer feeds recorded turns to a core.
type replayer struct {
	core    *pilot.Core
	onSend  func(proxy string, o *wire.Orders) // may be nil
	streams map[uint64]*replayStream
}

// replay feeds one turn. The time of the turn is moved by offset.
func (p *replayer) replay(t *Turn, offsetMs float64) error {
	if p.streams == nil {
		p.streams = map[uint64]*replayStream{}
	}
	var inputs []pilot.Input
	var told []brain.Note
	for i := range t.Inputs {
		in := &t.Inputs[i]
		if in.Note != nil {
			told = append(told, in.Note)
			continue
		}
		x, err := p.convert(in)
		if err != nil {
			return err
		}
		if x != nil {
			inputs = append(inputs, x)
		}
	}
	if len(told) > 0 {
		inputs = append(inputs, pilot.Told{Notes: told})
	}
	if !(t.AtMs >= 0 && t.AtMs < maxTimeMs) {
		return fmt.Errorf("a turn at %g ms: %w", t.AtMs, ErrTorn)
	}
	p.core.Handle(t.AtMs+offsetMs, inputs)
	p.core.Channel.Send(t.AtMs + offsetMs)
	return nil
}

func (p *replayer) convert(in *Input) (pilot.Input, error) {
	switch in.Kind {
	case Checkpoint:
		return nil, nil
	case Join:
		h, ok := in.Message.(*wire.Hello)
		if !ok {
			return nil, ErrTorn
		}
		s := &replayStream{Number: in.Stream}
		if p.onSend != nil {
			s.onSend = func(o *wire.Orders) { p.onSend(h.Proxy, o) }
		}
		p.streams[in.Stream] = s
		return pilot.Join{Stream: s, Hello: *h}, nil
	case Leave:
		s := p.streams[in.Stream]
		delete(p.streams, in.Stream)
		if s == nil {
			return nil, nil
		}
		return pilot.Leave{Stream: s}, nil
	case Applied:
		d, ok := in.Message.(*wire.Done)
		if s := p.streams[in.Stream]; ok && s != nil {
			return pilot.Applied{Stream: s, Done: *d}, nil
		}
	case Listed:
		if l, ok := in.Message.(*wire.List); ok {
			return pilot.Listed{List: l}, nil
		}
	case SliceGiven:
		if x, ok := in.Message.(*wire.Slices); ok {
			return pilot.SliceGiven{Slices: x}, nil
		}
	case ListLost:
		return pilot.ListLost{}, nil
	case Heard:
		return pilot.Heard{From: in.From, Text: in.Text}, nil
	case Probed:
		out := pilot.Probed{Endpoint: in.Text, Outcome: in.Probe.Outcome, TookMs: in.Probe.TookMs}
		for n, v := range in.Probe.Load {
			out.Load = append(out.Load, wire.Figure{Name: n, Value: v})
		}
		return out, nil
	case Retermed:
		terms := map[string]any{}
		if err := json.Unmarshal([]byte(in.Text), &terms); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTorn, err)
		}
		return pilot.Retermed{Terms: terms}, nil
	}
	return nil, nil
}

// replayStream stands for a recorded proxy's stream in a replay: what is sent to it goes nowhere, or to Sent.
type replayStream struct {
	Number uint64
	onSend func(*wire.Orders)
}

// Send takes orders.
func (s *replayStream) Send(o *wire.Orders) error {
	if s.onSend != nil {
		s.onSend(o)
	}
	return nil
}

// Ask does nothing.
func (s *replayStream) Ask(*wire.Pace) error { return nil }

// Close does nothing: the record says when a stream ended.
func (s *replayStream) Close(string) {}
