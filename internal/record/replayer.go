package record

import (
	"encoding/json"
	"fmt"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// maxTimeMs is later than any time in a life, about three thousand years: a turn at or after it is damaged.
const maxTimeMs = 1e14

// replayer passes recorded turns to a core whose transports are disabled.
type replayer struct {
	core    *controller.Core
	onSend  func(proxy string, commands *wire.Commands) // called with the commands for a proxy; may be nil
	streams map[uint64]*replayStream                    // the open streams, by their numbers in the record
}

func newReplayer(core *controller.Core, onSend func(proxy string, commands *wire.Commands)) *replayer {
	return &replayer{core: core, onSend: onSend, streams: map[uint64]*replayStream{}}
}

// replay passes one turn to the core. For an invalid turn it returns ErrCorrupt and leaves the core unchanged.
func (r *replayer) replay(t *Turn) error {
	inputs, err := r.inputs(t)
	if err != nil {
		return err
	}
	if valid := t.AtMs >= 0 && t.AtMs < maxTimeMs; !valid { // false for NaN
		return fmt.Errorf("invalid time of turn, %g ms: %w", t.AtMs, ErrCorrupt)
	}
	r.core.Handle(t.AtMs, inputs)
	r.core.Channel.Send(t.AtMs)
	return nil
}

// inputs converts a turn's inputs to inputs of the core. Events from telemetry come last, as one batch.
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

// convert converts a recorded input to an input of the core. It returns nil for an input without effect, such as one of
// a stream that is not open.
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

// join opens a stream and returns the input that joins its proxy.
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

// leave closes a stream. It returns nil if the stream is not open.
func (r *replayer) leave(in *Input) controller.Input {
	s := r.streams[in.Stream]
	delete(r.streams, in.Stream)
	if s == nil {
		return nil
	}
	return controller.ProxyLeft{Stream: s}
}

// acknowledge returns the acknowledgement of commands by a stream's proxy, or nil if the stream is not open.
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
		return nil, fmt.Errorf("%w: decode changed settings: %w", ErrCorrupt, err)
	}
	return controller.SettingsChanged{Settings: settings}, nil
}

// replayStream replaces the stream of a proxy in a replay. It passes commands to onSend, or discards them if onSend is
// nil.
type replayStream struct {
	onSend func(*wire.Commands)
}

// Send passes commands to onSend, if it is set, and returns nil.
func (s *replayStream) Send(commands *wire.Commands) error {
	if s.onSend != nil {
		s.onSend(commands)
	}
	return nil
}

// RequestPace does nothing, because the proxy's reports come from the record.
func (s *replayStream) RequestPace(*wire.Pace) error { return nil }

// Close does nothing, because the end of a stream comes from the record.
func (s *replayStream) Close(string) {}
