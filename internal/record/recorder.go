package record

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	"indigousher/planner"
)

// Checkpoint begins a turn that holds what another core needs to go on from here, and is no part of the life itself.
const Checkpoint = kindEnd

// CheckpointEvery is how far checkpoints are apart, in ms of the pilot's clock.
const CheckpointEvery = 15_000.0

// Recorder turns a core's turns into records. Turn is called by the loop and only keeps what it is given; all else is
// done by the functions that it hands over, which are called one after another by whoever writes.
type Recorder struct {
	to      func(func() *Turn)
	core    func() []controller.Input // its checkpoint
	streams map[controller.Stream]uint64
	next    uint64
	lastMs  float64
	began   bool
}

// NewRecorder hands turns to a sink; checkpoint is the core's.
func NewRecorder(to func(func() *Turn), checkpoint func() []controller.Input) *Recorder {
	return &Recorder{to: to, core: checkpoint, streams: map[controller.Stream]uint64{}}
}

// Turn is for a core's plan.
func (r *Recorder) Turn(nowMs float64, inputs []controller.Input, told []planner.Note, orders []planner.Order) {
	inputs = slices.Clone(inputs) // the loop uses its own again
	r.to(func() *Turn {
		t := r.turn(nowMs, inputs)
		t.Digest = Digest(orders)
		for _, n := range told {
			switch n := n.(type) {
			case planner.Met:
				t.Inputs = append(t.Inputs, Input{Kind: Met, Note: n})
			case planner.Demand:
				t.Inputs = append(t.Inputs, Input{Kind: Demand, Note: n})
			case planner.SliceDemand:
				t.Inputs = append(t.Inputs, Input{Kind: SliceDemand, Note: n})
			}
		}
		return t
	})
	if r.began && nowMs-r.lastMs < CheckpointEvery {
		return
	}
	if r.began {
		checkpoint := r.core()
		r.to(func() *Turn { return r.turn(nowMs, checkpoint, Input{Kind: Checkpoint}) })
	}
	r.began, r.lastMs = true, nowMs
}

func (r *Recorder) turn(nowMs float64, inputs []controller.Input, first ...Input) *Turn {
	t := &Turn{AtMs: nowMs, Inputs: first}
	for _, in := range inputs {
		if x, ok := r.input(in); ok {
			t.Inputs = append(t.Inputs, x)
		}
	}
	return t
}

// number returns a stream's number, giving one at its first appearance.
func (r *Recorder) number(s controller.Stream) uint64 {
	n, known := r.streams[s]
	if !known {
		r.next++
		n = r.next
		r.streams[s] = n
	}
	return n
}

func (r *Recorder) input(in controller.Input) (Input, bool) {
	switch in := in.(type) {
	case controller.Join:
		h := in.Hello
		return Input{Kind: Join, Stream: r.number(in.Stream), Message: &h}, true
	case controller.Leave:
		n := r.number(in.Stream)
		delete(r.streams, in.Stream)
		return Input{Kind: Leave, Stream: n}, true
	case controller.Applied:
		d := in.Done
		return Input{Kind: Applied, Stream: r.number(in.Stream), Message: &d}, true
	case controller.Listed:
		return Input{Kind: Listed, Message: in.List}, true
	case controller.SliceGiven:
		return Input{Kind: SliceGiven, Message: in.Slices}, true
	case controller.ListLost:
		return Input{Kind: ListLost}, true
	case controller.Heard:
		return Input{Kind: Heard, From: in.From, Text: in.Text}, true
	case controller.Probed:
		return Input{Kind: Probed, Text: in.Endpoint, Probe: planner.Probed{Outcome: in.Outcome, TookMs: in.TookMs, Load: figures(in.Load)}}, true
	case controller.Retermed:
		b, err := json.Marshal(in.Terms)
		return Input{Kind: Retermed, Text: string(b)}, err == nil
	}
	return Input{}, false
}

func figures(l []wire.Figure) planner.Load {
	if len(l) == 0 {
		return nil
	}
	out := planner.Load{}
	for _, f := range l {
		out[f.Name] = f.Value
	}
	return out
}

// Stream stands for a recorded proxy's stream in a replay: what is sent to it goes nowhere, or to Sent.
type Stream struct {
	Number uint64
	Sent   func(*wire.Orders)
}

// Send takes orders.
func (s *Stream) Send(o *wire.Orders) error {
	if s.Sent != nil {
		s.Sent(o)
	}
	return nil
}

// Ask does nothing.
func (s *Stream) Ask(*wire.Pace) error { return nil }

// Close does nothing: the record says when a stream ended.
func (s *Stream) Close(string) {}

// Player feeds recorded turns to a core.
type Player struct {
	Core    *controller.Core
	Sent    func(proxy string, o *wire.Orders) // may be nil
	streams map[uint64]*Stream
}

// latest is beyond every time of a life, in ms.
const latest = 1e14

// ErrDiffers says that a replay ordered otherwise than the record.
var ErrDiffers = errors.New("the replay orders otherwise")

// Play feeds one turn. The time of the turn is moved by offset.
func (p *Player) Play(t *Turn, offsetMs float64) error {
	if p.streams == nil {
		p.streams = map[uint64]*Stream{}
	}
	var inputs []controller.Input
	var told []planner.Note
	for i := range t.Inputs {
		in := &t.Inputs[i]
		if in.Note != nil {
			told = append(told, in.Note)
			continue
		}
		x, err := p.input(in)
		if err != nil {
			return err
		}
		if x != nil {
			inputs = append(inputs, x)
		}
	}
	if len(told) > 0 {
		inputs = append(inputs, controller.Told{Notes: told})
	}
	if !(t.AtMs >= 0 && t.AtMs < latest) {
		return fmt.Errorf("a turn at %g ms: %w", t.AtMs, ErrTorn)
	}
	p.Core.Handle(t.AtMs+offsetMs, inputs)
	p.Core.Channel.Send(t.AtMs + offsetMs)
	return nil
}

func (p *Player) input(in *Input) (controller.Input, error) {
	switch in.Kind {
	case Checkpoint:
		return nil, nil
	case Join:
		h, ok := in.Message.(*wire.Hello)
		if !ok {
			return nil, ErrTorn
		}
		s := &Stream{Number: in.Stream}
		if p.Sent != nil {
			s.Sent = func(o *wire.Orders) { p.Sent(h.Proxy, o) }
		}
		p.streams[in.Stream] = s
		return controller.Join{Stream: s, Hello: *h}, nil
	case Leave:
		s := p.streams[in.Stream]
		delete(p.streams, in.Stream)
		if s == nil {
			return nil, nil
		}
		return controller.Leave{Stream: s}, nil
	case Applied:
		d, ok := in.Message.(*wire.Done)
		if s := p.streams[in.Stream]; ok && s != nil {
			return controller.Applied{Stream: s, Done: *d}, nil
		}
	case Listed:
		if l, ok := in.Message.(*wire.List); ok {
			return controller.Listed{List: l}, nil
		}
	case SliceGiven:
		if x, ok := in.Message.(*wire.Slices); ok {
			return controller.SliceGiven{Slices: x}, nil
		}
	case ListLost:
		return controller.ListLost{}, nil
	case Heard:
		return controller.Heard{From: in.From, Text: in.Text}, nil
	case Probed:
		out := controller.Probed{Endpoint: in.Text, Outcome: in.Probe.Outcome, TookMs: in.Probe.TookMs}
		for n, v := range in.Probe.Load {
			out.Load = append(out.Load, wire.Figure{Name: n, Value: v})
		}
		return out, nil
	case Retermed:
		terms := map[string]any{}
		if err := json.Unmarshal([]byte(in.Text), &terms); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrTorn, err)
		}
		return controller.Retermed{Terms: terms}, nil
	}
	return nil, nil
}

// Fingerprint tells modules apart by what they do: the digest of what one orders through a minute of trouble that is the
// same each time.
func Fingerprint(make func(seed int64, terms map[string]any) controller.Decider) string {
	terms := map[string]any{"req_kinds": []any{map[string]any{"name": "a", "payoff": 1.0}, map[string]any{"name": "b", "payoff": 5.0}},
		"fields": []any{"util", "rate"}, "admission": "share", "instances": 2.0, "proxy_count": 6.0, "ejects_after": 5.0}
	d := make(7, terms)
	var sum uint64
	for step := range 240 {
		now := float64(step) * 250
		var notes []planner.Note
		switch {
		case step == 0:
			var l planner.Listing
			for e := range 9 {
				l.Entries = append(l.Entries, planner.Entry{Endpoint: e, Zone: e % 3, Weight: float64(1 + e%2)})
			}
			l.Mode = planner.Whole
			notes = append(notes, l)
			for p := range 4 {
				notes = append(notes, planner.Joined{Proxy: p, Zone: p % 3, Rate: 20})
			}
		case step%4 == 0:
			notes = append(notes, planner.Alarm{Name: "gather"})
		case step%4 == 1:
			for e := range 9 {
				failed := 0
				if e == 2 && step > 60 && step < 120 {
					failed = 9
				}
				notes = append(notes, planner.Met{Endpoint: e, Zone: e % 3, Tries: 9, Failed: failed, MeanMs: 30, SpanMs: 1000,
					Load: planner.Load{"util": 0.3 + float64((step+e)%7)/8, "rate": 20}})
			}
		case step == 130:
			notes = append(notes, planner.Listing{Entries: []planner.Entry{{Endpoint: 4, Zone: 1, Weight: 1, Phase: planner.Draining},
				{Endpoint: 9, Zone: 0, Weight: 2, Started: now}}})
		}
		sum = sum*1099511628211 + Digest(d.Handle(now, notes))
	}
	return fmt.Sprintf("%016x", sum)
}

// From returns the turn from which a tail is to be replayed: the last checkpoint, or the life's first turn, that lies at
// least so far before the end; else the earliest of them.
func From(turns []Turn, tailMs float64) int {
	if len(turns) == 0 {
		return 0
	}
	end, from := turns[len(turns)-1].AtMs, -1
	for i := range turns {
		start := i == 0 && turns[i].AtMs < CheckpointEvery || turns[i].IsCheckpoint()
		if start && (from < 0 || turns[i].AtMs <= end-tailMs) {
			from = i
		}
	}
	if from < 0 {
		return len(turns) // nothing to stand on
	}
	return from
}

// Tail reads the turns of a life from which it can be gone on from. Torn tells that something after them can't be read.
// No more is held at a time than the tail and a chunk: a life may be a week long.
func Tail(s *Store, life string, tailMs float64) (turns []Turn, torn bool, err error) {
	err = s.Read(life, func(ts []Turn, gap bool) error {
		if gap {
			turns = nil // what lies before a gap does not lead to what lies after it
		}
		turns = append(turns, ts...)
		if from := From(turns, tailMs); from > 0 && from < len(turns) {
			turns = slices.Clone(turns[from:])
		}
		return nil
	})
	if errors.Is(err, ErrTorn) {
		return turns, true, nil
	}
	return turns, false, err
}

// IsCheckpoint returns whether a turn is no part of the life but what another core needs to go on from here.
func (t *Turn) IsCheckpoint() bool { return len(t.Inputs) > 0 && t.Inputs[0].Kind == Checkpoint }

// Restore feeds a tail to a new core whose edges are held back. Its first turn may be a checkpoint; later ones are not
// fed. A module that panics on what the record holds gives an error: it would do so again at each start.
func Restore(core *controller.Core, turns []Turn) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module panics on the record: %v", r)
		}
	}()
	p := Player{Core: core}
	for i := range turns {
		if i > 0 && turns[i].IsCheckpoint() {
			continue
		}
		if err := p.Play(&turns[i], 0); err != nil {
			return err
		}
	}
	return nil
}
