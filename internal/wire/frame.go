package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// MaxFrame is the largest size of a frame body in bytes. A larger body is an error, which ends the stream.
const MaxFrame = 1 << 20

// Layout of the frame header: offsets and size in bytes.
const (
	typeOffset     = 4 // offset of the message type, after the length of the body
	sequenceOffset = 5 // offset of the sequence number, after the message type
	headerBytes    = 9
)

// Writer writes messages as numbered frames. It is not safe for concurrent use.
type Writer struct {
	to   io.Writer
	next uint32 // sequence number for the next frame
	buf  encoder
}

// NewWriter returns a writer whose first frame has sequence number 1.
func NewWriter(to io.Writer) *Writer { return &Writer{to: to, next: 1} }

// Write writes one message as a frame, with a single call of the underlying writer, and returns the number of bytes
// written. It returns an error that wraps ErrTooLarge, and writes nothing, if the body exceeds MaxFrame.
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

// Last returns the sequence number of the last frame written, or 0 if there is none.
func (w *Writer) Last() uint32 { return w.next - 1 }

// Reader reads messages from frames, and checks the size and the sequence number of each frame. It is not safe for
// concurrent use.
type Reader struct {
	from    io.Reader
	next    uint32 // expected sequence number of the next frame
	maxBody int    // largest accepted body, bytes
	body    []byte // buffer for the body, reused for each frame
}

// NewReader returns a reader that accepts bodies of up to maxBody bytes. If maxBody is zero, negative or above
// MaxFrame, the limit is MaxFrame.
func NewReader(from io.Reader, maxBody int) *Reader {
	if maxBody <= 0 || maxBody > MaxFrame {
		maxBody = MaxFrame
	}
	return &Reader{from: from, next: 1, maxBody: maxBody}
}

// Read reads the next message. It returns io.EOF if the stream ended between two frames.
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

// readHeader reads and checks the header of a frame, and returns the message type and the size of the body in bytes.
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
		return 0, 0, fmt.Errorf("read frame %d: received sequence number %d: %w", r.next, number, ErrSequence)
	}
	return Type(header[typeOffset]), size, nil
}

// readBody reads a frame body of size bytes into the buffer.
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

// Last returns the sequence number of the last frame read, or 0 if there is none.
func (r *Reader) Last() uint32 { return r.next - 1 }
