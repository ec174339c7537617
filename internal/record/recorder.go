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

// KindCheckpoint begins a turn that holds what another core needs to go on from here, and is no part of the life itself.
const KindCheckpoint = kindEnd

// CheckpointIntervalMs is how far checkpoints are apart, in ms of the pilot's clock.
const CheckpointIntervalMs = 15_000.0

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
func (r *Recorder) Turn(nowMs float64, inputs []controller.Input, told []planner.Event, orders []planner.Command) {
	inputs = slices.Clone(inputs) // the loop uses its own again
	r.to(func() *Turn {
		t := r.turn(nowMs, inputs)
		t.Digest = Digest(orders)
		for _, n := range told {
			switch n := n.(type) {
			case planner.EndpointStats:
				t.Inputs = append(t.Inputs, Input{Kind: KindEndpointStats, Event: n})
			case planner.RequestStats:
				t.Inputs = append(t.Inputs, Input{Kind: KindRequestStats, Event: n})
			case planner.SliceStats:
				t.Inputs = append(t.Inputs, Input{Kind: KindSliceStats, Event: n})
			}
		}
		return t
	})
	if r.began && nowMs-r.lastMs < CheckpointIntervalMs {
		return
	}
	if r.began {
		checkpoint := r.core()
		r.to(func() *Turn { return r.turn(nowMs, checkpoint, Input{Kind: KindCheckpoint}) })
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
	case controller.ProxyJoined:
		h := in.Hello
		return Input{Kind: KindProxyJoined, Stream: r.number(in.Stream), Message: &h}, true
	case controller.ProxyLeft:
		n := r.number(in.Stream)
		delete(r.streams, in.Stream)
		return Input{Kind: KindProxyLeft, Stream: n}, true
	case controller.Acked:
		d := in.Done
		return Input{Kind: KindAcked, Stream: r.number(in.Stream), Message: &d}, true
	case controller.EndpointsListed:
		return Input{Kind: KindEndpointsListed, Message: in.List}, true
	case controller.SliceAssigned:
		return Input{Kind: KindSliceAssigned, Message: in.Slices}, true
	case controller.EndpointListLost:
		return Input{Kind: KindEndpointListLost}, true
	case controller.GossipReceived:
		return Input{Kind: KindGossip, From: in.From, Text: in.Text}, true
	case controller.HealthChecked:
		return Input{Kind: KindHealthChecked, Text: in.Endpoint, HealthCheck: planner.HealthCheckResult{Outcome: in.Outcome, TookMs: in.TookMs, Load: figures(in.Load)}}, true
	case controller.SettingsChanged:
		b, err := json.Marshal(in.Settings)
		return Input{Kind: KindSettingsChanged, Text: string(b)}, err == nil
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

// Replayer feeds recorded turns to a core.
type Replayer struct {
	Core    *controller.Core
	Sent    func(proxy string, o *wire.Orders) // may be nil
	streams map[uint64]*Stream
}

// latest is beyond every time of a life, in ms.
const latest = 1e14

// ErrDiffers says that a replay ordered otherwise than the record.
var ErrDiffers = errors.New("the replay orders otherwise")

// Play feeds one turn. The time of the turn is moved by offset.
func (p *Replayer) Play(t *Turn, offsetMs float64) error {
	if p.streams == nil {
		p.streams = map[uint64]*Stream{}
	}
	var inputs []controller.Input
	var told []planner.Event
	for i := range t.Inputs {
		in := &t.Inputs[i]
		if in.Event != nil {
			told = append(told, in.Event)
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
		inputs = append(inputs, controller.TelemetryBatch{Events: told})
	}
	if !(t.AtMs >= 0 && t.AtMs < latest) {
		return fmt.Errorf("a turn at %g ms: %w", t.AtMs, ErrCorrupt)
	}
	p.Core.Handle(t.AtMs+offsetMs, inputs)
	p.Core.Channel.Send(t.AtMs + offsetMs)
	return nil
}

func (p *Replayer) input(in *Input) (controller.Input, error) {
	switch in.Kind {
	case KindCheckpoint:
		return nil, nil
	case KindProxyJoined:
		h, ok := in.Message.(*wire.Hello)
		if !ok {
			return nil, ErrCorrupt
		}
		s := &Stream{Number: in.Stream}
		if p.Sent != nil {
			s.Sent = func(o *wire.Orders) { p.Sent(h.Proxy, o) }
		}
		p.streams[in.Stream] = s
		return controller.ProxyJoined{Stream: s, Hello: *h}, nil
	case KindProxyLeft:
		s := p.streams[in.Stream]
		delete(p.streams, in.Stream)
		if s == nil {
			return nil, nil
		}
		return controller.ProxyLeft{Stream: s}, nil
	case KindAcked:
		d, ok := in.Message.(*wire.Done)
		if s := p.streams[in.Stream]; ok && s != nil {
			return controller.Acked{Stream: s, Done: *d}, nil
		}
	case KindEndpointsListed:
		if l, ok := in.Message.(*wire.List); ok {
			return controller.EndpointsListed{List: l}, nil
		}
	case KindSliceAssigned:
		if x, ok := in.Message.(*wire.Slices); ok {
			return controller.SliceAssigned{Slices: x}, nil
		}
	case KindEndpointListLost:
		return controller.EndpointListLost{}, nil
	case KindGossip:
		return controller.GossipReceived{From: in.From, Text: in.Text}, nil
	case KindHealthChecked:
		out := controller.HealthChecked{Endpoint: in.Text, Outcome: in.HealthCheck.Outcome, TookMs: in.HealthCheck.TookMs}
		for n, v := range in.HealthCheck.Load {
			out.Load = append(out.Load, wire.Figure{Name: n, Value: v})
		}
		return out, nil
	case KindSettingsChanged:
		terms := map[string]any{}
		if err := json.Unmarshal([]byte(in.Text), &terms); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
		}
		return controller.SettingsChanged{Settings: terms}, nil
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
		var notes []planner.Event
		switch {
		case step == 0:
			var l planner.EndpointUpdate
			for e := range 9 {
				l.Entries = append(l.Entries, planner.Entry{Endpoint: e, Zone: e % 3, Weight: float64(1 + e%2)})
			}
			l.Mode = planner.Snapshot
			notes = append(notes, l)
			for p := range 4 {
				notes = append(notes, planner.ProxyJoined{Proxy: p, Zone: p % 3, Rate: 20})
			}
		case step%4 == 0:
			notes = append(notes, planner.TimerFired{Name: "gather"})
		case step%4 == 1:
			for e := range 9 {
				failed := 0
				if e == 2 && step > 60 && step < 120 {
					failed = 9
				}
				notes = append(notes, planner.EndpointStats{Endpoint: e, Zone: e % 3, Attempts: 9, Failed: failed, MeanMs: 30, SpanMs: 1000,
					Load: planner.Load{"util": 0.3 + float64((step+e)%7)/8, "rate": 20}})
			}
		case step == 130:
			notes = append(notes, planner.EndpointUpdate{Entries: []planner.Entry{{Endpoint: 4, Zone: 1, Weight: 1, Phase: planner.Draining},
				{Endpoint: 9, Zone: 0, Weight: 2, Started: now}}})
		}
		sum = sum*1099511628211 + Digest(d.Handle(now, notes))
	}
	return fmt.Sprintf("%016x", sum)
}

// ReplayStart returns the turn from which a tail is to be replayed: the last checkpoint, or the life's first turn, that lies at
// least so far before the end; else the earliest of them.
func ReplayStart(turns []Turn, tailMs float64) int {
	if len(turns) == 0 {
		return 0
	}
	end, from := turns[len(turns)-1].AtMs, -1
	for i := range turns {
		start := i == 0 && turns[i].AtMs < CheckpointIntervalMs || turns[i].IsCheckpoint()
		if start && (from < 0 || turns[i].AtMs <= end-tailMs) {
			from = i
		}
	}
	if from < 0 {
		return len(turns) // nothing to stand on
	}
	return from
}

// ReadTail reads the turns of a life from which it can be gone on from. Torn tells that something after them can't be read.
// No more is held at a time than the tail and a chunk: a life may be a week long.
func ReadTail(s *Store, life string, tailMs float64) (turns []Turn, torn bool, err error) {
	err = s.Read(life, func(ts []Turn, gap bool) error {
		if gap {
			turns = nil // what lies before a gap does not lead to what lies after it
		}
		turns = append(turns, ts...)
		if from := ReplayStart(turns, tailMs); from > 0 && from < len(turns) {
			turns = slices.Clone(turns[from:])
		}
		return nil
	})
	if errors.Is(err, ErrCorrupt) {
		return turns, true, nil
	}
	return turns, false, err
}

// IsCheckpoint returns whether a turn is no part of the life but what another core needs to go on from here.
func (t *Turn) IsCheckpoint() bool { return len(t.Inputs) > 0 && t.Inputs[0].Kind == KindCheckpoint }

// Restore feeds a tail to a new core whose edges are held back. Its first turn may be a checkpoint; later ones are not
// fed. A module that panics on what the record holds gives an error: it would do so again at each start.
func Restore(core *controller.Core, turns []Turn) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the module panics on the record: %v", r)
		}
	}()
	p := Replayer{Core: core}
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
