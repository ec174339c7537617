package record

import (
	"encoding/json"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// CheckpointIntervalMs is how far checkpoints are apart, in ms of the controller's clock: a recovery replays up to so
// much more than its tail.
const CheckpointIntervalMs = 15_000.0

// Recorder turns a core's turns into records. Turn is called by the control loop and only keeps what it is given; all
// else is done by the functions that it hands to the sink, which are called one after another by whoever writes.
type Recorder struct {
	sink       func(func() *Turn)
	checkpoint func() []controller.Input // returns what another core needs to go on from here

	// Owned by the control loop.
	started          bool // the first turn has come
	lastCheckpointMs float64

	// Owned by whoever calls the functions that the sink got.
	streams    map[controller.Stream]uint64 // numbers of the streams that are open
	lastStream uint64                       // the number given last
}

// NewRecorder returns a recorder that hands turns to a sink; checkpoint is the core's.
func NewRecorder(sink func(func() *Turn), checkpoint func() []controller.Input) *Recorder {
	return &Recorder{sink: sink, checkpoint: checkpoint, streams: map[controller.Stream]uint64{}}
}

// Turn records a turn: its inputs, the events that telemetry passed on, and the planner's commands. It is meant for the
// core's options.
func (r *Recorder) Turn(nowMs float64, inputs []controller.Input, events []planner.Event, commands []planner.Command) {
	inputs = slices.Clone(inputs) // the loop reuses its slice
	r.sink(func() *Turn {
		t := &Turn{AtMs: nowMs, Digest: Digest(commands)}
		t.Inputs = r.appendInputs(t.Inputs, inputs)
		t.Inputs = appendStats(t.Inputs, events)
		return t
	})
	r.checkpointIfDue(nowMs)
}

// checkpointIfDue records a checkpoint if the last one is old enough. A life's first turn counts as one: nothing lies
// before it.
func (r *Recorder) checkpointIfDue(nowMs float64) {
	if !r.started {
		r.started = true
		r.lastCheckpointMs = nowMs
		return
	}
	if nowMs-r.lastCheckpointMs < CheckpointIntervalMs {
		return
	}
	inputs := r.checkpoint()
	r.sink(func() *Turn {
		t := &Turn{AtMs: nowMs, Inputs: []Input{{Kind: KindCheckpoint}}}
		t.Inputs = r.appendInputs(t.Inputs, inputs)
		return t
	})
	r.lastCheckpointMs = nowMs
}

// appendInputs converts a core's inputs and appends those that are recorded.
func (r *Recorder) appendInputs(dst []Input, inputs []controller.Input) []Input {
	for _, in := range inputs {
		if converted, ok := r.convert(in); ok {
			dst = append(dst, converted)
		}
	}
	return dst
}

// appendStats appends the events that telemetry made of load reports. They stand for the reports, which are not
// recorded.
func appendStats(dst []Input, events []planner.Event) []Input {
	for _, event := range events {
		switch event := event.(type) {
		case planner.EndpointStats:
			dst = append(dst, Input{Kind: KindEndpointStats, Event: event})
		case planner.RequestStats:
			dst = append(dst, Input{Kind: KindRequestStats, Event: event})
		case planner.SliceStats:
			dst = append(dst, Input{Kind: KindSliceStats, Event: event})
		}
	}
	return dst
}

// convert returns an input as it is recorded, and false for one that is not.
func (r *Recorder) convert(in controller.Input) (Input, bool) {
	switch in := in.(type) {
	case controller.ProxyJoined:
		return Input{Kind: KindProxyJoined, Stream: r.streamNumber(in.Stream), Message: &in.Hello}, true
	case controller.ProxyLeft:
		number := r.streamNumber(in.Stream)
		delete(r.streams, in.Stream)
		return Input{Kind: KindProxyLeft, Stream: number}, true
	case controller.Acked:
		return Input{Kind: KindAcked, Stream: r.streamNumber(in.Stream), Message: &in.Done}, true
	case controller.EndpointsListed:
		return Input{Kind: KindEndpointsListed, Message: in.List}, true
	case controller.SliceAssigned:
		return Input{Kind: KindSliceAssigned, Message: in.Slices}, true
	case controller.EndpointListLost:
		return Input{Kind: KindEndpointListLost}, true
	case controller.GossipReceived:
		return Input{Kind: KindGossip, From: in.From, Text: in.Text}, true
	case controller.HealthChecked:
		result := planner.HealthCheckResult{Outcome: in.Outcome, TookMs: in.TookMs, Load: loadOf(in.Load)}
		return Input{Kind: KindHealthChecked, Text: in.Endpoint, HealthCheck: result}, true
	case controller.SettingsChanged:
		text, err := json.Marshal(in.Settings)
		return Input{Kind: KindSettingsChanged, Text: string(text)}, err == nil
	}
	return Input{}, false
}

// streamNumber returns a stream's number, and gives it one at its first input.
func (r *Recorder) streamNumber(s controller.Stream) uint64 {
	number, known := r.streams[s]
	if !known {
		r.lastStream++
		number = r.lastStream
		r.streams[s] = number
	}
	return number
}

// loadOf returns a load report as the planner knows it; an empty one is nil.
func loadOf(figures []wire.Figure) planner.Load {
	if len(figures) == 0 {
		return nil
	}
	load := planner.Load{}
	for _, f := range figures {
		load[f.Name] = f.Value
	}
	return load
}
