package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// samples has one of each message, every field set.
var samples = []Message{
	&Hello{Version: 1, Proxy: "p", Zone: "a", Boot: 7, Rate: 2.5, Fresh: true, Holds: []string{"x:1", "y:2"},
		Tables: []HeldTable{{Table: 2, Lines: []HeldLine{{"x:1", 0.5}}}}},
	&Welcome{Version: 1, Pilot: "one", BeatMs: 300, PeriodMs: 1000},
	&Refuse{Reason: "no"}, &Beat{Seen: 70000}, &Redirect{Reason: "stops"}, &Bye{},
	&Sums{Seq: 3, AtMs: 5.5, SpanMs: 1000, Met: []Met{{"x:1", 9, 2, 4.5, []Figure{{"util", 0.5}, {"rate", 3}}}},
		Demand: []Demand{{"read", 5, 1}}, Slices: []SliceLoad{{7, "read", 3, 1}}},
	&Done{Mark: 65534, TookMs: 0.25},
	&Orders{AtMs: 5, AgeMs: 1.5, Lines: 9, Ops: []Op{{Kind: OpBind, Table: 3, Kinds: 5, Keep: true},
		{Kind: OpSet, Table: 3, Endpoint: "x:1", Weight: 0.75}, {Kind: OpClear, Table: 2},
		{Kind: OpWithdraw, Endpoint: "y:2", Out: true}, {Kind: OpAdmit, Table: 65535, Kinds: 2, Weight: 0.5, Again: 3},
		{Kind: OpMark, Number: 12}}},
	&ListAsk{Who: "one", Watch: true, Whole: true},
	&List{Version: 4, Now: 99, Whole: true, Entries: []Entry{{"x:1", "a", "std", 2, PhaseDraining, 1.5, 88}}},
	&Req{Number: 1, Name: 2, Kind: "read", From: "p", WorkMs: 30, LimitMs: 1500},
	&Answer{Number: 1, Outcome: Denied, ComeBackMs: 200, Load: []Figure{{"util", 1}}}, &Probe{Number: 3},
	&Slices{Slice: 4, Given: true, Lines: []HeldLine{{"x:1", 2}}}, &Pace{PeriodMs: 2000, Lines: 40, Changes: true},
}

func TestRoundTrip(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, m := range samples {
		_, err := w.Write(m)
		require.NoError(t, err)
	}
	r := NewReader(&b, 0)
	for _, want := range samples {
		got, err := r.Read()
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
	_, err := r.Read()
	assert.Equal(t, io.EOF, err)
}

// frame makes a frame by hand.
func frame(t Type, number uint32, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	b = append(b, byte(t))
	return append(binary.BigEndian.AppendUint32(b, number), body...)
}

// body lays out a message without its frame.
func body(m Message) []byte {
	var w encoder
	m.encode(&w)
	return w.b
}

func TestMalformed(t *testing.T) {
	beat := frame(typeBeat, 1, []byte{0})
	sums := body(samples[6])
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"a header cut short", beat[:5], io.ErrUnexpectedEOF},
		{"a body cut short", frame(typeSums, 1, sums)[:20], io.ErrUnexpectedEOF},
		{"larger than the limit", binary.BigEndian.AppendUint32(nil, 1<<30), io.ErrUnexpectedEOF},
		{"a length beyond the limit", frame(typeBeat, 1, make([]byte, 5000)), ErrTooLarge},
		{"the first numbered 2", frame(typeBeat, 2, []byte{0}), ErrSequence},
		{"one repeated", append(bytes.Clone(beat), beat...), ErrSequence},
		{"one left out", append(bytes.Clone(beat), frame(typeBeat, 3, []byte{0})...), ErrSequence},
		{"an unknown type", frame(200, 1, nil), ErrType},
		{"a body that goes on", frame(typeBeat, 1, []byte{1, 1}), ErrTrailing},
		{"a body that ends inside", frame(typeSums, 1, sums[:len(sums)-3]), ErrTruncated},
		{"more items than bytes", frame(typeSums, 1, append(make([]byte, 17), 0xff, 0x01)), ErrTruncated},
		{"far too many items", frame(typeSums, 1, append(make([]byte, 17), 0xff, 0xff, 0xff, 0x7f)), ErrValue},
		{"a text that is too long", frame(typeRefuse, 1, append([]byte{0x80, 0x02}, make([]byte, 256)...)), ErrValue},
		{"a text that is no UTF-8", frame(typeRefuse, 1, []byte{1, 0xff}), ErrValue},
		{"not a number", frame(typeDone, 1, body(&Done{TookMs: math.NaN()})), ErrValue},
		{"a negative figure", frame(typeDone, 1, body(&Done{TookMs: -1})), ErrValue},
		{"a negative count", frame(typeDone, 1, body(&Done{Mark: -1})), ErrValue},
		{"more failed than tried", frame(typeSums, 1, body(&Sums{Met: []Met{{Endpoint: "x", Tries: 1, Failed: 2}}})), ErrValue},
		{"a flag of 2", frame(typeListAsk, 1, []byte{0, 2, 0}), ErrValue},
		{"an unknown op", frame(typeOrders, 1, append(make([]byte, 17), 1, 99)), ErrValue},
		{"a hello without a name", frame(typeHello, 1, body(&Hello{Version: 1, Zone: "a"})), ErrValue},
		{"an unknown phase", frame(typeList, 1, body(&List{Entries: []Entry{{Endpoint: "x", Phase: 3}}})), ErrValue},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(bytes.NewReader(c.in), 4096)
			var err error
			for err == nil {
				_, err = r.Read()
			}
			assert.ErrorIs(t, err, c.want)
		})
	}
	_, err := NewWriter(io.Discard).Write(&Hello{Holds: slicesOf(strings.Repeat("x", 255), 5000)})
	assert.ErrorIs(t, err, ErrTooLarge)
}

func slicesOf(s string, n int) (l []string) {
	for range n {
		l = append(l, s)
	}
	return l
}

// FuzzDecode guards against bodies that crash the parser, or that it takes but can't lay out again alike.
func FuzzDecode(f *testing.F) {
	for _, m := range samples {
		f.Add(byte(m.messageType()), body(m))
	}
	f.Fuzz(func(t *testing.T, kind byte, b []byte) {
		m, err := Decode(Type(kind), b)
		if err != nil {
			return
		}
		again, err := Decode(Type(kind), body(m))
		require.NoError(t, err)
		assert.Equal(t, m, again)
	})
}

// FuzzRead guards the reader of frames against streams of any bytes.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, m := range samples {
		_, err := w.Write(m)
		require.NoError(f, err)
	}
	f.Add(b.Bytes())
	f.Fuzz(func(t *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), 1<<12)
		for {
			if _, err := r.Read(); err != nil {
				return
			}
		}
	})
}

func BenchmarkOrders(b *testing.B) {
	m := &Orders{Lines: 400}
	for range 400 {
		m.Ops = append(m.Ops, Op{Kind: OpSet, Table: 3, Endpoint: "127.0.0.1:30000", Weight: 0.75})
	}
	var buf bytes.Buffer
	b.ReportAllocs()
	for b.Loop() {
		buf.Reset()
		if _, err := NewWriter(&buf).Write(m); err != nil {
			b.Fatal(err)
		}
		if _, err := NewReader(&buf, 0).Read(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N*400)/b.Elapsed().Seconds(), "lines/s")
}
