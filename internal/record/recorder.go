package record

import (
	"encoding/json"
	"slices"

	"indigousher/brain"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// CheckpointEvery is how far checkpoints are apart, in ms of the pilot's clock.
const CheckpointEvery = 15_000.0

// Recorder turns a core's turns into records. Turn is called by the loop and only keeps what it is given; all else is
// done by the functions that it hands over, which are called one after another by whoever writes.
type Recorder struct {
	sink             func(func() *Turn)
	checkpoint       func() []pilot.Input // its checkpoint
	streams          map[pilot.Stream]uint64
	lastStream       uint64
	lastCheckpointMs float64
	started          bool
}

// NewRecorder hands turns to a sink; checkpoint is the core's.
func NewRecorder(to func(func() *Turn), checkpoint func() []pilot.Input) *Recorder {
	return &Recorder{sink: to, checkpoint: checkpoint, streams: map[pilot.Stream]uint64{}}
}

// Turn is for a core's plan.
func (r *Recorder) Turn(nowMs float64, inputs []pilot.Input, told []brain.Note, orders []brain.Order) {
	inputs = slices.Clone(inputs) // the loop uses its own again
	r.sink(func() *Turn {
		t := r.turn(nowMs, inputs)
		t.Digest = Digest(orders)
		for _, n := range told {
			switch n := n.(type) {
			case brain.Met:
				t.Inputs = append(t.Inputs, Input{Kind: Met, Note: n})
			case brain.Demand:
				t.Inputs = append(t.Inputs, Input{Kind: Demand, Note: n})
			case brain.SliceDemand:
				t.Inputs = append(t.Inputs, Input{Kind: SliceDemand, Note: n})
			}
		}
		return t
	})
	if r.started && nowMs-r.lastCheckpointMs < CheckpointEvery {
		return
	}
	if r.started {
		checkpoint := r.checkpoint()
		r.sink(func() *Turn { return r.turn(nowMs, checkpoint, Input{Kind: Checkpoint}) })
	}
	r.started, r.lastCheckpointMs = true, nowMs
}

func (r *Recorder) turn(nowMs float64, inputs []pilot.Input, first ...Input) *Turn {
	t := &Turn{AtMs: nowMs, Inputs: first}
	for _, in := range inputs {
		if x, ok := r.convert(in); ok {
			t.Inputs = append(t.Inputs, x)
		}
	}
	return t
}

// streamNumber returns a stream's number, giving one at its first appearance.
func (r *Recorder) streamNumber(s pilot.Stream) uint64 {
	n, known := r.streams[s]
	if !known {
		r.lastStream++
		n = r.lastStream
		r.streams[s] = n
	}
	return n
}

func (r *Recorder) convert(in pilot.Input) (Input, bool) {
	switch in := in.(type) {
	case pilot.Join:
		h := in.Hello
		return Input{Kind: Join, Stream: r.streamNumber(in.Stream), Message: &h}, true
	case pilot.Leave:
		n := r.streamNumber(in.Stream)
		delete(r.streams, in.Stream)
		return Input{Kind: Leave, Stream: n}, true
	case pilot.Applied:
		d := in.Done
		return Input{Kind: Applied, Stream: r.streamNumber(in.Stream), Message: &d}, true
	case pilot.Listed:
		return Input{Kind: Listed, Message: in.List}, true
	case pilot.SliceGiven:
		return Input{Kind: SliceGiven, Message: in.Slices}, true
	case pilot.ListLost:
		return Input{Kind: ListLost}, true
	case pilot.Heard:
		return Input{Kind: Heard, From: in.From, Text: in.Text}, true
	case pilot.Probed:
		return Input{Kind: Probed, Text: in.Endpoint, Probe: brain.Probed{Outcome: in.Outcome, TookMs: in.TookMs, Load: loadOf(in.Load)}}, true
	case pilot.Retermed:
		b, err := json.Marshal(in.Terms)
		return Input{Kind: Retermed, Text: string(b)}, err == nil
	}
	return Input{}, false
}

func loadOf(l []wire.Figure) brain.Load {
	if len(l) == 0 {
		return nil
	}
	out := brain.Load{}
	for _, f := range l {
		out[f.Name] = f.Value
	}
	return out
}
