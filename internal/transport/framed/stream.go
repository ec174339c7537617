package framed

import (
	"errors"
	"net"
	"sync"
	"time"

	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// ErrSlow ends the stream of a proxy that does not keep up with reading.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is the stream of one proxy. It implements controller.Stream.
type stream struct {
	conn    net.Conn
	queue   chan wire.Message // queue to the writer
	end     *shutdown.Notice[wire.Message]
	unacked unackedFrames
}

// Send queues orders. It returns ErrSlow if the queue is full.
func (st *stream) Send(m *wire.Commands) error { return st.enqueue(m) }

// Ask queues advice on load reports. It returns ErrSlow if the queue is full.
func (st *stream) Ask(m *wire.Pace) error { return st.enqueue(m) }

func (st *stream) enqueue(m wire.Message) error {
	select {
	case st.queue <- m:
		return nil
	default:
		return ErrSlow
	}
}

// Close ends the stream and sends the reason to the proxy.
func (st *stream) Close(reason string) {
	st.end.CloseWith(reason, &wire.Refuse{Reason: reason[:min(len(reason), wire.MaxText)]})
}

// closeConn closes the connection, which ends both goroutines. It may be called repeatedly.
func (st *stream) closeConn() {
	_ = st.conn.Close() // fails when called again
}

// unackedFrames are the frames that a proxy has not acknowledged yet. The writer adds and the reader removes them.
type unackedFrames struct {
	mu     sync.Mutex
	frames []frame // in ascending order of numbers
}

// frame is a written frame.
type frame struct {
	number    uint32
	writtenAt time.Time
}

// add adds a written frame. Numbers increase.
func (u *unackedFrames) add(number uint32, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.frames = append(u.frames, frame{number, at})
}

// acknowledge removes the frames up to a number.
func (u *unackedFrames) acknowledge(number uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.frames) > 0 && u.frames[0].number <= number {
		u.frames = u.frames[1:]
	}
}

// olderThan reports whether a frame written before a time is unacknowledged.
func (u *unackedFrames) olderThan(before time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.frames) > 0 && u.frames[0].writtenAt.Before(before)
}
