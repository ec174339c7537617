package record

import (
	"encoding/json"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// CheckpointIntervalMs is the time between two checkpoints, in ms of the controller's clock. A recovery replays up to
// this much more than the requested time.
const CheckpointIntervalMs = 15_000.0

// Recorder converts the turns of a core to their recorded form. The control loop calls Turn, which only keeps its
// arguments. The conversion is done by the functions that Turn passes to the sink; the writer calls them one at a time.
type Recorder struct {
	sink       func(func() *Turn)
	checkpoint func() []controller.Input // returns inputs that rebuild the core's state in another core

	// Used by the control loop only.
	started          bool    // the first turn was recorded
	lastCheckpointMs float64 // time of the last checkpoint, or of the first turn

	// Used only by the functions that are passed to the sink.
	streams    map[controller.Stream]uint64 // numbers of the open streams
	lastStream uint64                       // the number assigned last
}

// NewRecorder returns a recorder that passes turns to sink. checkpoint returns inputs that rebuild the core's
// current state, see controller.Core.Checkpoint.
func NewRecorder(sink func(func() *Turn), checkpoint func() []controller.Input) *Recorder {
	return &Recorder{sink: sink, checkpoint: checkpoint, streams: map[controller.Stream]uint64{}}
}

// Turn records a turn: its time in ms, its inputs, the events from telemetry and the planner's commands. It is called
// by the core, through the core's options.
func (r *Recorder) Turn(nowMs float64, inputs []controller.Input, events []planner.Event, commands []planner.Command) {
	inputs = slices.Clone(inputs) // the control loop reuses the slice
	r.sink(func() *Turn {
		t := &Turn{AtMs: nowMs, Digest: Digest(commands)}
		t.Inputs = r.appendInputs(t.Inputs, inputs)
		t.Inputs = appendStats(t.Inputs, events)
		return t
	})
	r.checkpointIfDue(nowMs)
}

// checkpointIfDue records a checkpoint if CheckpointIntervalMs have passed since the last one. The first turn of a life
// counts as a checkpoint, because no turn precedes it.
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

// appendInputs converts a core's inputs and appends those that are recorded to dst.
func (r *Recorder) appendInputs(dst []Input, inputs []controller.Input) []Input {
	for _, in := range inputs {
		if converted, ok := r.convert(in); ok {
			dst = append(dst, converted)
		}
	}
	return dst
}

// appendStats appends the events that telemetry computed from load reports to dst. They are recorded instead of the
// reports.
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

// convert returns the recorded form of an input, or false if the input is not recorded.
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

// streamNumber returns the number of a stream. A stream is assigned the next number at its first input.
func (r *Recorder) streamNumber(s controller.Stream) uint64 {
	number, known := r.streams[s]
	if !known {
		r.lastStream++
		number = r.lastStream
		r.streams[s] = number
	}
	return number
}

// loadOf converts a load report to the planner's type. An empty report gives nil.
func loadOf(figures []wire.LoadMetric) planner.Load {
	if len(figures) == 0 {
		return nil
	}
	load := planner.Load{}
	for _, f := range figures {
		load[f.Name] = f.Value
	}
	return load
}
