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

// writeSamples returns a stream with all sample messages.
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

// TestRoundTrip checks that each sample message is equal after it was written and read.
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

// TestFrameEncodingUnchanged checks the encoding of the samples against a hash, because peers may run other versions of
// this package.
func TestFrameEncodingUnchanged(t *testing.T) {
	const want = "cbda7e13fa89e217fddffb755029e31df501d26d7f8f812d46b035e67e6832d4"
	assert.Equal(t, want, fmt.Sprintf("%x", sha256.Sum256(writeSamples(t).Bytes())))
}

// rawFrame returns a frame with the given header and body.
func rawFrame(t Type, number uint32, body []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	b = append(b, byte(t))
	return append(binary.BigEndian.AppendUint32(b, number), body...)
}

// messageFrame returns a message as the first frame of a stream, without checking its size or values.
func messageFrame(m Message) []byte {
	return rawFrame(m.messageType(), 1, encodeBody(m))
}

// TestMalformed checks the errors that a reader returns for malformed frames and bodies.
func TestMalformed(t *testing.T) {
	heartbeat := rawFrame(typeHeartbeat, 1, []byte{0})
	report := encodeBody(sampleLoadReport)
	reportHeader := make([]byte, 17)   // LoadReport: Seq, AtMs and SpanMs, 1 + 8 + 8 bytes
	commandsHeader := make([]byte, 17) // Commands: AtMs, AgeMs and Lines, 8 + 8 + 1 bytes
	for _, c := range []struct {
		name string
		in   []byte
		want error
	}{
		{"truncated header", heartbeat[:5], io.ErrUnexpectedEOF},
		{"truncated body", rawFrame(typeLoadReport, 1, report)[:20], io.ErrUnexpectedEOF},
		{"truncated header with a length beyond the limit", binary.BigEndian.AppendUint32(nil, 1<<30), io.ErrUnexpectedEOF},
		{"length beyond the limit", rawFrame(typeHeartbeat, 1, make([]byte, 5000)), ErrTooLarge},
		{"first frame numbered 2", rawFrame(typeHeartbeat, 2, []byte{0}), ErrSequence},
		{"repeated frame", append(bytes.Clone(heartbeat), heartbeat...), ErrSequence},
		{"missing frame", append(bytes.Clone(heartbeat), rawFrame(typeHeartbeat, 3, []byte{0})...), ErrSequence},
		{"unknown message type", rawFrame(200, 1, nil), ErrType},
		{"trailing byte in the body", rawFrame(typeHeartbeat, 1, []byte{1, 1}), ErrTrailing},
		{"body that ends early", rawFrame(typeLoadReport, 1, report[:len(report)-3]), ErrTruncated},
		{"more items than bytes", rawFrame(typeLoadReport, 1, append(reportHeader, 0xff, 0x01)), ErrTruncated},
		{"more items than MaxItems", rawFrame(typeLoadReport, 1, append(reportHeader, 0xff, 0xff, 0xff, 0x7f)), ErrValue},
		{"text longer than MaxText", rawFrame(typeRefuse, 1, append([]byte{0x80, 0x02}, make([]byte, 256)...)), ErrValue},
		{"text that is not UTF-8", rawFrame(typeRefuse, 1, []byte{1, 0xff}), ErrValue},
		{"NaN", messageFrame(&Done{TookMs: math.NaN()}), ErrValue},
		{"negative float", messageFrame(&Done{TookMs: -1}), ErrValue},
		{"negative count", messageFrame(&Done{Mark: -1}), ErrValue},
		{
			"more failures than attempts",
			messageFrame(&LoadReport{EndpointStats: []EndpointStats{{Endpoint: "x", Attempts: 1, Failed: 2}}}),
			ErrValue,
		},
		{"bool of 2", rawFrame(typeListRequest, 1, []byte{0, 2, 0}), ErrValue},
		{"unknown operation", rawFrame(typeCommands, 1, append(commandsHeader, 1, 99)), ErrValue},
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

// TestWriteTooLarge checks that Write rejects a message whose body exceeds MaxFrame.
func TestWriteTooLarge(t *testing.T) {
	names := slices.Repeat([]string{strings.Repeat("x", MaxText)}, 5000)
	_, err := NewWriter(io.Discard).Write(&Hello{Holds: names})
	assert.ErrorIs(t, err, ErrTooLarge)
}

// FuzzRead checks that the reader does not panic on arbitrary input.
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

// BenchmarkOrders measures writing and reading a Commands message with 400 weights.
func BenchmarkOrders(b *testing.B) {
	m := &Commands{CostLines: 400}
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
