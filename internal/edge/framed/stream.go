package framed

import (
	"errors"
	"net"
	"sync"
	"time"

	"indigousher/internal/edge/ending"
	"indigousher/internal/wire"
)

// ErrSlow ends the stream of a proxy that does not read.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// stream is one proxy's connection; it is the controller's pilot.Stream.
type stream struct {
	conn    net.Conn
	out     chan wire.Message // waits to be written
	end     *ending.Ending[wire.Message]
	unacked unackedFrames
}

// Send queues orders for writing. It returns ErrSlow if too much waits.
func (st *stream) Send(m *wire.Orders) error { return st.enqueue(m) }

// Ask queues advice on load reports. It returns ErrSlow if too much waits.
func (st *stream) Ask(m *wire.Pace) error { return st.enqueue(m) }

func (st *stream) enqueue(m wire.Message) error {
	select {
	case st.out <- m:
		return nil
	default:
		return ErrSlow
	}
}

// Close ends the stream and tells the proxy why.
func (st *stream) Close(reason string) {
	st.end.Say(reason, &wire.Refuse{Reason: reason[:min(len(reason), wire.MaxText)]})
}

// closeConn closes the connection, which ends both goroutines. It may be called more than once.
func (st *stream) closeConn() {
	_ = st.conn.Close() // all has been written that will be, and closing twice is an error
}

// unackedFrames are the frames that were written to a proxy which has not acknowledged them yet. The writer adds them
// and the reader takes them off.
type unackedFrames struct {
	mu     sync.Mutex
	frames []frame // in the order of their numbers
}

// frame is one that was written.
type frame struct {
	number    uint32
	writtenAt time.Time
}

// add notes that a frame was written. Numbers rise.
func (u *unackedFrames) add(number uint32, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.frames = append(u.frames, frame{number, at})
}

// acknowledge forgets the frames up to a number.
func (u *unackedFrames) acknowledge(number uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.frames) > 0 && u.frames[0].number <= number {
		u.frames = u.frames[1:]
	}
}

// olderThan reports whether a frame that was written before a time is not acknowledged.
func (u *unackedFrames) olderThan(before time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.frames) > 0 && u.frames[0].writtenAt.Before(before)
}
