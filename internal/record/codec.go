// Package record keeps what a pilot was told, turn by turn, so that it can be rebuilt after a crash and replayed
// afterwards: each turn's time and inputs, and a digest of the orders that came of them. Turns are laid out here and kept
// in an embedded store (store.go). It decides nothing; docs/records.md has the layout.
package record

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// Format is the version of the layout.
const Format = 2 // 2: slices with their ranges of keys

// Errors of reading.
var (
	ErrCorrupt = errors.New("the record is torn")
	ErrFormat  = errors.New("the record is of another format")
)

// Kind tells what an input was.
type Kind byte

// The kinds of input.
const (
	KindProxyJoined Kind = iota + 1
	KindProxyLeft
	KindAcked
	KindEndpointsListed
	KindEndpointListLost
	KindGossip
	KindHealthChecked
	KindSettingsChanged
	KindEndpointStats
	KindRequestStats
	KindSliceAssigned
	KindSliceStats
	kindEnd
)

// String names a kind.
func (k Kind) String() string {
	names := [...]string{"", "join", "leave", "applied", "listed", "list lost", "heard", "probed", "retermed", "met", "demand", "slice given", "slice demand", "checkpoint"}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Input is one input of a turn. Stream numbers the proxies' streams of a life.
type Input struct {
	Kind        Kind                      `json:"Kind"`
	Stream      uint64                    `json:"Stream"`
	Message     wire.Message              `json:"Message"` // of Join, Applied, Listed and SliceGiven
	From        int                       `json:"From"`    // of Heard
	Text        string                    `json:"Text"`    // of Heard; the endpoint of Probed; terms as JSON of Retermed
	HealthCheck planner.HealthCheckResult `json:"Probe"`   // of Probed
	Event       planner.Event             `json:"Note"`    // of Met, Demand and SliceDemand: as the intake passed them on
}

// Turn is one turn of the loop.
type Turn struct {
	AtMs   float64 `json:"AtMs"`
	Inputs []Input `json:"Inputs"`
	Digest uint64  `json:"Digest"` // of the orders
}

type encoder struct{ b []byte }

func (e *encoder) uint(v uint64)  { e.b = binary.AppendUvarint(e.b, v) }
func (e *encoder) int(v int)      { e.b = binary.AppendVarint(e.b, int64(v)) }
func (e *encoder) text(s string)  { e.uint(uint64(len(s))); e.b = append(e.b, s...) }
func (e *encoder) wide(v float64) { e.b = binary.LittleEndian.AppendUint64(e.b, math.Float64bits(v)) }

// num lays out a fraction, in one to five bytes if it is a small whole number, as most counts and many times are.
func (e *encoder) num(v float64) {
	if v == math.Trunc(v) && math.Abs(v) < 1<<31 && !(v == 0 && math.Signbit(v)) {
		e.int(int(v) << 1)
		return
	}
	e.int(1)
	e.wide(v)
}

// AppendTurn lays a turn out behind what is in b already.
func AppendTurn(b []byte, t *Turn) ([]byte, error) {
	e := encoder{b}
	e.wide(t.AtMs)
	e.b = binary.LittleEndian.AppendUint64(e.b, t.Digest)
	e.uint(uint64(len(t.Inputs)))
	for i := range t.Inputs {
		if err := e.input(&t.Inputs[i]); err != nil {
			return b, err
		}
	}
	return e.b, nil
}

func (e *encoder) input(in *Input) error {
	e.b = append(e.b, byte(in.Kind))
	switch in.Kind {
	case KindProxyJoined, KindAcked, KindEndpointsListed, KindSliceAssigned:
		body, err := wire.Body(in.Message)
		if err != nil {
			return fmt.Errorf("lay out input: %w", err)
		}
		e.uint(in.Stream)
		e.text(string(body))
	case KindProxyLeft:
		e.uint(in.Stream)
	case KindGossip:
		e.int(in.From)
		e.text(in.Text)
	case KindSettingsChanged:
		e.text(in.Text)
	case KindHealthChecked:
		e.text(in.Text)
		e.text(in.HealthCheck.Outcome)
		e.num(in.HealthCheck.TookMs)
		e.load(in.HealthCheck.Load)
	case KindEndpointStats:
		m, ok := in.Event.(planner.EndpointStats)
		if !ok {
			return fmt.Errorf("lay out %T as met", in.Event)
		}
		e.int(m.Endpoint)
		e.int(m.Zone)
		e.int(m.Attempts)
		e.int(m.Failed)
		e.num(m.MeanMs)
		e.num(m.SpanMs)
		e.load(m.Load)
	case KindRequestStats:
		d, ok := in.Event.(planner.RequestStats)
		if !ok {
			return fmt.Errorf("lay out %T as demand", in.Event)
		}
		e.int(d.Proxy)
		e.int(d.Class)
		e.int(d.Requests)
		e.int(d.Unanswered)
		e.num(d.SpanMs)
	case KindSliceStats:
		d, ok := in.Event.(planner.SliceStats)
		if !ok {
			return fmt.Errorf("lay out %T as slice demand", in.Event)
		}
		e.int(d.Slice)
		e.int(d.Class)
		e.int(d.Requests)
		e.int(d.Unanswered)
		e.num(d.SpanMs)
	}
	return nil
}

func (e *encoder) load(l planner.Load) {
	names := make([]string, 0, len(l))
	for n := range l {
		names = append(names, n)
	}
	slices.Sort(names)
	e.uint(uint64(len(names)))
	for _, n := range names {
		e.text(n)
		e.num(l[n])
	}
}

// decoder takes turns apart; the first thing wrong stays in err.
type decoder struct {
	b   []byte
	err error
}

func (d *decoder) fail() {
	if d.err == nil {
		d.err = ErrCorrupt
	}
	d.b = nil
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) int() int {
	v, n := binary.Varint(d.b)
	if n <= 0 {
		d.fail()
		return 0
	}
	d.b = d.b[n:]
	return int(v)
}

func (d *decoder) fixed() uint64 {
	if len(d.b) < 8 {
		d.fail()
		return 0
	}
	v := binary.LittleEndian.Uint64(d.b)
	d.b = d.b[8:]
	return v
}

func (d *decoder) num() float64 {
	v := d.int()
	if v&1 == 0 {
		return float64(v >> 1)
	}
	return math.Float64frombits(d.fixed())
}

func (d *decoder) text() string {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.fail()
		return ""
	}
	s := string(d.b[:n])
	d.b = d.b[n:]
	return s
}

func (d *decoder) load() planner.Load {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.fail()
		return nil
	}
	if n == 0 {
		return nil
	}
	l := planner.Load{}
	for range n {
		name := d.text()
		l[name] = d.num()
	}
	return l
}

// DecodeTurns takes apart what Append laid out.
func DecodeTurns(b []byte) (turns []Turn, err error) {
	d := decoder{b: b}
	for len(d.b) > 0 {
		t := Turn{AtMs: math.Float64frombits(d.fixed()), Digest: d.fixed()}
		n := d.uint()
		if n > uint64(len(d.b)) {
			d.fail()
		}
		for range n {
			in := d.input()
			if d.err != nil {
				return turns, d.err
			}
			t.Inputs = append(t.Inputs, in)
		}
		if d.err != nil {
			return turns, d.err
		}
		turns = append(turns, t)
	}
	return turns, d.err
}

func (d *decoder) input() (in Input) {
	if len(d.b) == 0 {
		d.fail()
		return in
	}
	in.Kind = Kind(d.b[0])
	d.b = d.b[1:]
	switch in.Kind {
	case KindProxyJoined, KindAcked, KindEndpointsListed, KindSliceAssigned:
		in.Stream = d.uint()
		body := d.text()
		if d.err != nil {
			return in
		}
		blank := map[Kind]wire.Message{KindProxyJoined: &wire.Hello{}, KindAcked: &wire.Done{}, KindEndpointsListed: &wire.List{}, KindSliceAssigned: &wire.Slices{}}[in.Kind]
		if err := wire.Unbody(blank, []byte(body)); err != nil {
			d.err = fmt.Errorf("%w: %w", ErrCorrupt, err)
			return in
		}
		in.Message = blank
	case KindProxyLeft:
		in.Stream = d.uint()
	case KindGossip:
		in.From, in.Text = d.int(), d.text()
	case KindSettingsChanged:
		in.Text = d.text()
	case KindHealthChecked:
		in.Text = d.text()
		in.HealthCheck = planner.HealthCheckResult{Outcome: d.text(), TookMs: d.num(), Load: d.load()}
	case KindEndpointStats:
		in.Event = planner.EndpointStats{Endpoint: d.int(), Zone: d.int(), Attempts: d.int(), Failed: d.int(), MeanMs: d.num(),
			SpanMs: d.num(), Load: d.load()}
	case KindRequestStats:
		in.Event = planner.RequestStats{Proxy: d.int(), Class: d.int(), Requests: d.int(), Unanswered: d.int(), SpanMs: d.num()}
	case KindSliceStats:
		in.Event = planner.SliceStats{Slice: d.int(), Class: d.int(), Requests: d.int(), Unanswered: d.int(), SpanMs: d.num()}
	case KindEndpointListLost, KindCheckpoint:
	default:
		d.fail()
	}
	return in
}
