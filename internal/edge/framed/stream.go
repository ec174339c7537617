package framed

import (
	"errors"
	"net"
	"sync"
	"time"

	"indigousher/internal/edge/ending"
	"indigousher/internal/wire"
)

// stream is one proxy's connection; it is the runtime's pilot.Stream.
type stream struct {
	conn    net.Conn
	out     chan wire.Message
	end     *ending.Ending[wire.Message]
	mu      sync.Mutex
	unacked []frame // frames that the proxy has not said to have dealt with
}

// frame is one that was written.
type frame struct {
	number    uint32
	writtenAt time.Time
}

func (st *stream) addUnacked(number uint32) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.unacked = append(st.unacked, frame{number, time.Now()})
}

// acknowledge forgets the frames up to a number.
func (st *stream) acknowledge(number uint32) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for len(st.unacked) > 0 && st.unacked[0].number <= number {
		st.unacked = st.unacked[1:]
	}
}

// unackedBefore returns whether a frame written before a time is not acknowledged.
func (st *stream) unackedBefore(before time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.unacked) > 0 && st.unacked[0].writtenAt.Before(before)
}

// ErrSlow ends the stream of a proxy that does not read.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// Send queues orders for writing.
func (st *stream) Send(m *wire.Orders) error { return st.enqueue(m) }

// Ask queues a wish about reports.
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
