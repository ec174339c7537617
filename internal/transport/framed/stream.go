package framed

import (
	"errors"
	"net"
	"sync"
	"time"

	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// ErrSlow means that a proxy does not read or process messages fast enough. Its stream is closed.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is the connection of one proxy. It implements controller.Stream.
type stream struct {
	conn    net.Conn
	queue   chan wire.Message // messages to be sent by the writer goroutine
	end     *shutdown.Signal[wire.Message]
	unacked unackedFrames
}

// Send queues commands for the proxy. It returns ErrSlow if the queue is full.
func (st *stream) Send(m *wire.Commands) error { return st.enqueue(m) }

// RequestPace queues a Pace message, which changes how the proxy reports load. It returns ErrSlow if the queue is full.
func (st *stream) RequestPace(m *wire.Pace) error { return st.enqueue(m) }

// enqueue queues a message without blocking. It returns ErrSlow if the queue is full.
func (st *stream) enqueue(m wire.Message) error {
	select {
	case st.queue <- m:
		return nil
	default:
		return ErrSlow
	}
}

// Close ends the stream and sends the reason to the proxy, truncated to wire.MaxText bytes.
func (st *stream) Close(reason string) {
	st.end.CloseWith(reason, &wire.Refuse{Reason: reason[:min(len(reason), wire.MaxText)]})
}

// closeConn closes the connection, which unblocks the reader and the writer. It may be called repeatedly.
func (st *stream) closeConn() {
	_ = st.conn.Close() // returns an error if the connection is closed already
}

// unackedFrames holds the sent frames that the proxy has not acknowledged yet. The writer goroutine adds frames and the
// reader goroutine removes them.
type unackedFrames struct {
	mu     sync.Mutex
	frames []frame // sorted by sequence number
}

// frame records when a frame was written.
type frame struct {
	number    uint32 // sequence number
	writtenAt time.Time
}

// add records a written frame. Each number must be greater than the previous one.
func (u *unackedFrames) add(number uint32, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.frames = append(u.frames, frame{number, at})
}

// acknowledge removes all frames with sequence numbers up to and including number.
func (u *unackedFrames) acknowledge(number uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.frames) > 0 && u.frames[0].number <= number {
		u.frames = u.frames[1:]
	}
}

// olderThan reports whether any unacknowledged frame was written before the given time.
func (u *unackedFrames) olderThan(before time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.frames) > 0 && u.frames[0].writtenAt.Before(before)
}
