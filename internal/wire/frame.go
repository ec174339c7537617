package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrame is the largest body of a frame in bytes. A peer that sends a larger one has its stream closed.
const MaxFrame = 1 << 20

// Layout of a frame's header.
const (
	typeOffset     = 4 // after the length, 4 bytes
	sequenceOffset = 5 // after the type, 1 byte
	headerBytes    = 9
)

// Writer numbers and writes frames. It is not safe for concurrent use.
type Writer struct {
	to   io.Writer
	next uint32 // sequence number of the next frame
	buf  encoder
}

// NewWriter returns a writer whose first frame has number 1.
func NewWriter(to io.Writer) *Writer { return &Writer{to: to, next: 1} }

// Write sends one message with one call of the underlying writer and returns the number of bytes written.
func (w *Writer) Write(m Message) (int, error) {
	w.buf.b = append(w.buf.b[:0], make([]byte, headerBytes)...)
	m.encode(&w.buf)
	frame := w.buf.b
	size := len(frame) - headerBytes
	if size > MaxFrame {
		return 0, fmt.Errorf("write %T of %d bytes: %w", m, size, ErrTooLarge)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame[typeOffset] = byte(m.messageType())
	binary.BigEndian.PutUint32(frame[sequenceOffset:], w.next)
	w.next++
	n, err := w.to.Write(frame)
	if err != nil {
		return n, fmt.Errorf("write %T: %w", m, err)
	}
	return n, nil
}

// Last returns the number of the last frame written, 0 before the first.
func (w *Writer) Last() uint32 { return w.next - 1 }

// Reader reads frames and checks their size and order. It is not safe for concurrent use.
type Reader struct {
	from    io.Reader
	next    uint32 // sequence number of the next frame
	maxBody int    // bytes
	body    []byte // buffer, used again for each frame
}

// NewReader returns a reader that accepts bodies of up to maxBody bytes, or MaxFrame if maxBody is not from 1 to
// MaxFrame.
func NewReader(from io.Reader, maxBody int) *Reader {
	if maxBody <= 0 || maxBody > MaxFrame {
		maxBody = MaxFrame
	}
	return &Reader{from: from, next: 1, maxBody: maxBody}
}

// Read returns the next message. io.EOF means that the stream ended between two frames.
func (r *Reader) Read() (Message, error) {
	t, size, err := r.readHeader()
	if err != nil {
		return nil, err
	}
	if err := r.readBody(size); err != nil {
		return nil, err
	}
	m, err := Decode(t, r.body)
	if err != nil {
		return nil, fmt.Errorf("read frame %d: %w", r.next, err)
	}
	r.next++
	return m, nil
}

// readHeader reads a frame's header and returns the type and the size of its body.
func (r *Reader) readHeader() (t Type, size int, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.from, header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return 0, 0, io.EOF
		}
		return 0, 0, fmt.Errorf("read frame %d: %w", r.next, err)
	}
	size = int(binary.BigEndian.Uint32(header[:]))
	if size > r.maxBody {
		return 0, 0, fmt.Errorf("read frame %d of %d bytes: %w", r.next, size, ErrTooLarge)
	}
	if number := binary.BigEndian.Uint32(header[sequenceOffset:]); number != r.next {
		return 0, 0, fmt.Errorf("read frame %d, numbered %d: %w", r.next, number, ErrSequence)
	}
	return Type(header[typeOffset]), size, nil
}

// readBody reads a frame's body into the buffer.
func (r *Reader) readBody(size int) error {
	if cap(r.body) < size {
		r.body = make([]byte, size)
	}
	r.body = r.body[:size]
	if _, err := io.ReadFull(r.from, r.body); err != nil {
		return fmt.Errorf("read body of frame %d: %w", r.next, err)
	}
	return nil
}

// Last returns the number of the last frame read, 0 before the first.
func (r *Reader) Last() uint32 { return r.next - 1 }
