// Package wire is the framed protocol between pilots, proxies and the list source: what a frame is, which messages
// there are, and their bytes. It holds no connection, starts no goroutine and decides nothing; internal/edge and the
// stand-ins call it. docs/pilot.md describes the layout.
//
// A frame is a header of nine bytes (length of the body, type, sequence number, all big-endian) and a body. Numbers
// in a body are varints, fractions eight bytes of IEEE 754, texts a length and UTF-8. Each direction numbers its
// frames from 1 without a gap.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"unicode/utf8"
)

// Version is the protocol's version; a hello names the sender's.
const Version = 1

// Limits of the protocol. A peer that passes one has its stream closed.
const (
	headerBytes = 9
	MaxFrame    = 1 << 20 // bytes of a body
	MaxText     = 255     // bytes of a name or reason
	MaxItems    = 65535   // elements of a list in a message
)

// Errors that tell a reader why a stream ends; all are final for the stream.
var (
	ErrTooLarge  = errors.New("frame larger than the limit")
	ErrSequence  = errors.New("frame repeated, missing or out of order")
	ErrTruncated = errors.New("body ends too early")
	ErrTrailing  = errors.New("body longer than its message")
	ErrType      = errors.New("unknown type of message")
	ErrValue     = errors.New("value out of range")
)

// Type tells what a frame carries.
type Type byte

// The types of messages.
const (
	typeHello Type = iota + 1
	typeWelcome
	typeRefuse
	typeBeat
	typeSums
	typeDone
	typeOrders
	typeRedirect
	typeBye
	typeListAsk
	typeList
	typeReq
	typeAnswer
	typeProbe
	typePace
	typeSlices
)

// Message is one of the messages of this package.
type Message interface {
	messageType() Type
	encode(*encoder)
	decode(*decoder)
}

// Writer numbers and writes frames. It is not safe for use by several goroutines.
type Writer struct {
	to   io.Writer
	next uint32
	buf  encoder
}

// NewWriter returns a writer whose first frame has number 1.
func NewWriter(to io.Writer) *Writer { return &Writer{to: to, next: 1} }

// Write sends one message in one call of the underlying writer and returns the bytes written.
func (w *Writer) Write(m Message) (int, error) {
	w.buf.b = append(w.buf.b[:0], make([]byte, headerBytes)...)
	m.encode(&w.buf)
	body := len(w.buf.b) - headerBytes
	if body > MaxFrame {
		return 0, fmt.Errorf("write %T of %d bytes: %w", m, body, ErrTooLarge)
	}
	binary.BigEndian.PutUint32(w.buf.b, uint32(body))
	w.buf.b[4] = byte(m.messageType())
	binary.BigEndian.PutUint32(w.buf.b[5:], w.next)
	w.next++
	n, err := w.to.Write(w.buf.b)
	if err != nil {
		return n, fmt.Errorf("write %T: %w", m, err)
	}
	return n, nil
}

// Last returns the number of the last frame written, 0 before the first.
func (w *Writer) Last() uint32 { return w.next - 1 }

// Reader reads frames and checks their size and order. It is not safe for use by several goroutines.
type Reader struct {
	from io.Reader
	next uint32
	most int
	body []byte
}

// NewReader returns a reader that takes bodies of up to most bytes (MaxFrame if 0).
func NewReader(from io.Reader, most int) *Reader {
	if most <= 0 || most > MaxFrame {
		most = MaxFrame
	}
	return &Reader{from: from, next: 1, most: most}
}

// Read returns the next message. io.EOF means that the stream ended between two frames.
func (r *Reader) Read() (Message, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r.from, head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, fmt.Errorf("read frame %d: %w", r.next, err)
	}
	size := int(binary.BigEndian.Uint32(head[:]))
	if size > r.most {
		return nil, fmt.Errorf("read frame %d of %d bytes: %w", r.next, size, ErrTooLarge)
	}
	if got := binary.BigEndian.Uint32(head[5:]); got != r.next {
		return nil, fmt.Errorf("read frame %d, numbered %d: %w", r.next, got, ErrSequence)
	}
	if cap(r.body) < size {
		r.body = make([]byte, size)
	}
	r.body = r.body[:size]
	if _, err := io.ReadFull(r.from, r.body); err != nil {
		return nil, fmt.Errorf("read body of frame %d: %w", r.next, err)
	}
	m, err := Decode(Type(head[4]), r.body)
	if err != nil {
		return nil, fmt.Errorf("read frame %d: %w", r.next, err)
	}
	r.next++
	return m, nil
}

// Last returns the number of the last frame read, 0 before the first.
func (r *Reader) Last() uint32 { return r.next - 1 }

// Decode parses one body. What it returns holds no part of body.
func Decode(t Type, body []byte) (Message, error) {
	m := newMessage(t)
	if m == nil {
		return nil, fmt.Errorf("type %d: %w", t, ErrType)
	}
	r := decoder{b: body}
	m.decode(&r)
	if r.err == nil && len(r.b) > 0 {
		r.err = ErrTrailing
	}
	if r.err != nil {
		return nil, fmt.Errorf("%T: %w", m, r.err)
	}
	return m, nil
}

func newMessage(t Type) Message {
	switch t {
	case typeHello:
		return &Hello{}
	case typeWelcome:
		return &Welcome{}
	case typeRefuse:
		return &Refuse{}
	case typeBeat:
		return &Beat{}
	case typeSums:
		return &Sums{}
	case typeDone:
		return &Done{}
	case typeOrders:
		return &Orders{}
	case typeRedirect:
		return &Redirect{}
	case typeBye:
		return &Bye{}
	case typeListAsk:
		return &ListAsk{}
	case typeList:
		return &List{}
	case typeReq:
		return &Req{}
	case typeAnswer:
		return &Answer{}
	case typeProbe:
		return &Probe{}
	case typePace:
		return &Pace{}
	case typeSlices:
		return &Slices{}
	}
	return nil
}

// encoder collects a body.
type encoder struct{ b []byte }

func (w *encoder) uvarint(v uint64) { w.b = binary.AppendUvarint(w.b, v) }
func (w *encoder) varint(v int)     { w.b = binary.AppendVarint(w.b, int64(v)) }
func (w *encoder) float(v float64)  { w.b = binary.BigEndian.AppendUint64(w.b, math.Float64bits(v)) }
func (w *encoder) text(s string)    { w.uvarint(uint64(len(s))); w.b = append(w.b, s...) }
func (w *encoder) bool(v bool)      { w.b = append(w.b, map[bool]byte{true: 1}[v]) }
func (w *encoder) byte(v byte)      { w.b = append(w.b, v) }
func (w *encoder) texts(l []string) {
	w.uvarint(uint64(len(l)))
	for _, s := range l {
		w.text(s)
	}
}

// decoder takes a body apart. The first thing wrong stays in err, and all later reads return zero values.
type decoder struct {
	b   []byte
	err error
}

func (r *decoder) fail(err error) {
	if r.err == nil {
		r.err = err
	}
	r.b = nil
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.fail(ErrTruncated)
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *decoder) varint() int {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.fail(ErrTruncated)
		return 0
	}
	if v > math.MaxInt32 || v < math.MinInt32 {
		r.fail(ErrValue)
		return 0
	}
	r.b = r.b[n:]
	return int(v)
}

// count reads a non-negative number.
func (r *decoder) count() int {
	v := r.varint()
	if v < 0 {
		r.fail(ErrValue)
		return 0
	}
	return v
}

// float reads a fraction; not-a-number, infinite and negative ones are refused.
func (r *decoder) float() float64 {
	if len(r.b) < 8 {
		r.fail(ErrTruncated)
		return 0
	}
	v := math.Float64frombits(binary.BigEndian.Uint64(r.b))
	r.b = r.b[8:]
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		r.fail(ErrValue)
		return 0
	}
	return v
}

func (r *decoder) text() string {
	n := r.uvarint()
	if n > MaxText {
		r.fail(ErrValue)
		return ""
	}
	if uint64(len(r.b)) < n {
		r.fail(ErrTruncated)
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	if !utf8.ValidString(s) {
		r.fail(ErrValue)
		return ""
	}
	return s
}

func (r *decoder) byte() byte {
	if len(r.b) == 0 {
		r.fail(ErrTruncated)
		return 0
	}
	v := r.b[0]
	r.b = r.b[1:]
	return v
}

func (r *decoder) bool() bool {
	v := r.byte()
	if v > 1 {
		r.fail(ErrValue)
	}
	return v == 1
}

// length reads a list's length. Each element takes at least one byte, so a length beyond the body is refused before
// anything is set aside for it.
func (r *decoder) length() int {
	n := r.uvarint()
	if n > MaxItems {
		r.fail(ErrValue)
		return 0
	}
	if n > uint64(len(r.b)) {
		r.fail(ErrTruncated)
		return 0
	}
	return int(n)
}

func (r *decoder) texts() []string {
	var l []string
	for range r.length() {
		l = append(l, r.text())
	}
	return l
}

// Body lays out a message without its frame, for those who keep messages elsewhere.
func Body(m Message) ([]byte, error) {
	var w encoder
	m.encode(&w)
	if len(w.b) > MaxFrame {
		return nil, fmt.Errorf("%T of %d bytes: %w", m, len(w.b), ErrTooLarge)
	}
	return w.b, nil
}

// Unbody reads into a message what Body laid out.
func Unbody(into Message, body []byte) error {
	r := decoder{b: body}
	into.decode(&r)
	if r.err == nil && len(r.b) > 0 {
		r.err = ErrTrailing
	}
	return r.err
}
