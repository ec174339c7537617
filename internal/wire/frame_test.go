package wire

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// writeSamples returns the frames of all sample messages.
func writeSamples(t testing.TB) *bytes.Buffer {
	t.Helper()
	var frames bytes.Buffer
	w := NewWriter(&frames)
	for _, m := range samples {
		_, err := w.Write(m)
		require.NoError(t, err)
	}
	return &frames
}

// TestRoundTrip checks that all messages are read as they were written.
func TestRoundTrip(t *testing.T) {
	r := NewReader(writeSamples(t), 0)
	for _, want := range samples {
		got, err := r.Read()
		require.NoError(t, err)
		assert.Equal(t, want, got)
	}
	_, err := r.Read()
	assert.Equal(t, io.EOF, err)
}

// TestFrameBytesStay checks that the frames of the samples keep their bytes, which peers of other builds read.
func TestFrameEncodingUnchanged(t *testing.T) {
	const want = "cbda7e13fa89e217fddffb755029e31df501d26d7f8f812d46b035e67e6832d4"
	assert.Equal(t, want, fmt.Sprintf("%x", sha256.Sum256(writeSamples(t).Bytes())))
}

// rawFrame builds a frame by hand.
func rawFrame(t Type, number uint32, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	b = append(b, byte(t))
	return append(binary.BigEndian.AppendUint32(b, number), body...)
}

// messageFrame builds the first frame of a stream from a message, without any check.
func messageFrame(m Message) []byte {
	return rawFrame(m.messageType(), 1, encodeBody(m))
}

// TestMalformed checks the errors of malformed frames and bodies.
func TestMalformed(t *testing.T) {
	beat := rawFrame(typeHeartbeat, 1, []byte{0})
	sums := encodeBody(sampleLoadReport)
	sumsHead := make([]byte, 17) // Seq, AtMs and SpanMs: 1 + 8 + 8 bytes
	ordersHead := make([]byte, 17)
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"truncated header", beat[:5], io.ErrUnexpectedEOF},
		{"truncated body", rawFrame(typeLoadReport, 1, sums)[:20], io.ErrUnexpectedEOF},
		{"truncated header with a length beyond the limit", binary.BigEndian.AppendUint32(nil, 1<<30), io.ErrUnexpectedEOF},
		{"length beyond the limit", rawFrame(typeHeartbeat, 1, make([]byte, 5000)), ErrTooLarge},
		{"first frame numbered 2", rawFrame(typeHeartbeat, 2, []byte{0}), ErrSequence},
		{"repeated frame", append(bytes.Clone(beat), beat...), ErrSequence},
		{"missing frame", append(bytes.Clone(beat), rawFrame(typeHeartbeat, 3, []byte{0})...), ErrSequence},
		{"unknown message type", rawFrame(200, 1, nil), ErrType},
		{"trailing byte in the body", rawFrame(typeHeartbeat, 1, []byte{1, 1}), ErrTrailing},
		{"body that ends early", rawFrame(typeLoadReport, 1, sums[:len(sums)-3]), ErrTruncated},
		{"more items than bytes", rawFrame(typeLoadReport, 1, append(sumsHead, 0xff, 0x01)), ErrTruncated},
		{"more items than MaxItems", rawFrame(typeLoadReport, 1, append(sumsHead, 0xff, 0xff, 0xff, 0x7f)), ErrValue},
		{"text longer than MaxText", rawFrame(typeRefuse, 1, append([]byte{0x80, 0x02}, make([]byte, 256)...)), ErrValue},
		{"text that is not UTF-8", rawFrame(typeRefuse, 1, []byte{1, 0xff}), ErrValue},
		{"NaN", messageFrame(&Done{TookMs: math.NaN()}), ErrValue},
		{"negative float", messageFrame(&Done{TookMs: -1}), ErrValue},
		{"negative count", messageFrame(&Done{Mark: -1}), ErrValue},
		{"more failures than tries", messageFrame(&LoadReport{EndpointStats: []EndpointStats{{Endpoint: "x", Attempts: 1, Failed: 2}}}), ErrValue},
		{"bool of 2", rawFrame(typeListRequest, 1, []byte{0, 2, 0}), ErrValue},
		{"unknown operation", rawFrame(typeCommands, 1, append(ordersHead, 1, 99)), ErrValue},
		{"hello without a name", messageFrame(&Hello{Version: 1, Zone: "a"}), ErrValue},
		{"unknown phase", messageFrame(&List{Entries: []Entry{{Endpoint: "x", Phase: 3}}}), ErrValue},
		{"empty key range", messageFrame(&Slices{From: "b", To: "a"}), ErrValue},
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
}

// TestWriteTooLarge checks that a message larger than MaxFrame isn't sent.
func TestWriteTooLarge(t *testing.T) {
	names := slices.Repeat([]string{strings.Repeat("x", MaxText)}, 5000)
	_, err := NewWriter(io.Discard).Write(&Hello{Holds: names})
	assert.ErrorIs(t, err, ErrTooLarge)
}

// FuzzRead checks that no stream crashes the reader of frames.
func FuzzRead(f *testing.F) {
	f.Add(writeSamples(f).Bytes())
	f.Fuzz(func(_ *testing.T, in []byte) {
		r := NewReader(bytes.NewReader(in), 1<<12)
		for {
			if _, err := r.Read(); err != nil {
				return
			}
		}
	})
}

// BenchmarkOrders writes and reads a message of 400 weights.
func BenchmarkOrders(b *testing.B) {
	m := &Commands{Lines: 400}
	for range 400 {
		m.Ops = append(m.Ops, Op{Kind: OpSetWeight, Table: 3, Endpoint: "127.0.0.1:30000", Weight: 0.75})
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
