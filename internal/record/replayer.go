package record

import (
	"encoding/json"
	"fmt"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// maxTimeMs is beyond every time of a life, about three thousand years: a turn at a later time is damaged.
const maxTimeMs = 1e14

// replayer feeds recorded turns to a core, whose transports are held back.
type replayer struct {
	core    *controller.Core
	onSend  func(proxy string, commands *wire.Commands) // gets what goes to a proxy; may be nil
	streams map[uint64]*replayStream                    // that are open, by their numbers in the record
}

func newReplayer(core *controller.Core, onSend func(proxy string, commands *wire.Commands)) *replayer {
	return &replayer{core: core, onSend: onSend, streams: map[uint64]*replayStream{}}
}

// replay feeds one turn. A turn that makes no sense gives ErrCorrupt and changes nothing of the core.
func (r *replayer) replay(t *Turn) error {
	inputs, err := r.inputs(t)
	if err != nil {
		return err
	}
	if valid := t.AtMs >= 0 && t.AtMs < maxTimeMs; !valid { // a NaN is neither
		return fmt.Errorf("a turn at %g ms: %w", t.AtMs, ErrCorrupt)
	}
	r.core.Handle(t.AtMs, inputs)
	r.core.Channel.Send(t.AtMs)
	return nil
}

// inputs returns a turn's inputs as the core takes them; what telemetry passed on comes last, as one batch.
func (r *replayer) inputs(t *Turn) ([]controller.Input, error) {
	var inputs []controller.Input
	var events []planner.Event
	for i := range t.Inputs {
		in := &t.Inputs[i]
		if in.Event != nil {
			events = append(events, in.Event)
			continue
		}
		converted, err := r.convert(in)
		if err != nil {
			return nil, err
		}
		if converted != nil {
			inputs = append(inputs, converted)
		}
	}
	if len(events) > 0 {
		inputs = append(inputs, controller.TelemetryBatch{Events: events})
	}
	return inputs, nil
}

// convert returns an input as the core takes it. One that has no effect, such as of a stream that nobody opened, gives
// nil.
func (r *replayer) convert(in *Input) (controller.Input, error) {
	switch in.Kind {
	case KindProxyJoined:
		return r.join(in)
	case KindProxyLeft:
		return r.leave(in), nil
	case KindAcked:
		return r.acknowledge(in), nil
	case KindEndpointsListed:
		if list, ok := in.Message.(*wire.List); ok {
			return controller.EndpointsListed{List: list}, nil
		}
	case KindSliceAssigned:
		if assignment, ok := in.Message.(*wire.Slices); ok {
			return controller.SliceAssigned{Slices: assignment}, nil
		}
	case KindEndpointListLost:
		return controller.EndpointListLost{}, nil
	case KindGossip:
		return controller.GossipReceived{From: in.From, Text: in.Text}, nil
	case KindHealthChecked:
		return healthChecked(in), nil
	case KindSettingsChanged:
		return settingsChanged(in)
	}
	return nil, nil
}

// join opens a stream.
func (r *replayer) join(in *Input) (controller.Input, error) {
	hello, ok := in.Message.(*wire.Hello)
	if !ok {
		return nil, ErrCorrupt
	}
	s := &replayStream{}
	if r.onSend != nil {
		s.onSend = func(commands *wire.Commands) { r.onSend(hello.Proxy, commands) }
	}
	r.streams[in.Stream] = s
	return controller.ProxyJoined{Stream: s, Hello: *hello}, nil
}

// leave ends a stream, if it is open.
func (r *replayer) leave(in *Input) controller.Input {
	s := r.streams[in.Stream]
	delete(r.streams, in.Stream)
	if s == nil {
		return nil
	}
	return controller.ProxyLeft{Stream: s}
}

// acknowledge brings an acknowledgement on a stream, if it is open.
func (r *replayer) acknowledge(in *Input) controller.Input {
	done, ok := in.Message.(*wire.Done)
	s := r.streams[in.Stream]
	if !ok || s == nil {
		return nil
	}
	return controller.Acked{Stream: s, Done: *done}
}

func healthChecked(in *Input) controller.Input {
	result := controller.HealthChecked{
		Endpoint: in.Text,
		Outcome:  in.HealthCheck.Outcome,
		TookMs:   in.HealthCheck.TookMs,
	}
	for name, value := range in.HealthCheck.Load {
		result.Load = append(result.Load, wire.LoadMetric{Name: name, Value: value})
	}
	return result
}

func settingsChanged(in *Input) (controller.Input, error) {
	settings := map[string]any{}
	if err := json.Unmarshal([]byte(in.Text), &settings); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return controller.SettingsChanged{Settings: settings}, nil
}

// replayStream stands for a proxy's stream in a replay: what is sent to it goes nowhere, or to onSend.
type replayStream struct {
	onSend func(*wire.Commands)
}

// Send hands commands to onSend.
func (s *replayStream) Send(commands *wire.Commands) error {
	if s.onSend != nil {
		s.onSend(commands)
	}
	return nil
}

// RequestPace does nothing: the record holds what the proxy reported.
func (s *replayStream) RequestPace(*wire.Pace) error { return nil }

// Close does nothing: the record says when a stream ended.
func (s *replayStream) Close(string) {}
