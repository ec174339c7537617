package listener

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"indigousher/internal/platform/connstate"
)

// unidentified holds the connections that have not identified themselves as a collector and bounds their number.
type unidentified struct {
	limit   int
	evicted *atomic.Int64

	mu    sync.Mutex
	conns *list.List // of net.Conn, oldest first
}

// add adds a connection, after evicting others if there is no room. It returns the place of the connection for
// remove.
func (u *unidentified) add(conn net.Conn) *list.Element {
	u.evictTo(u.limit - 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns.PushBack(conn)
}

// remove removes a connection. It does nothing if the connection was evicted.
func (u *unidentified) remove(place *list.Element) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns.Remove(place)
}

// evictTo closes connections until no more than remaining are left.
func (u *unidentified) evictTo(remaining int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.conns.Len() > remaining {
		conn, _ := u.conns.Remove(u.nextEvicted()).(net.Conn) // add adds nothing else
		_ = conn.Close()                                      // its data is not needed any more
		u.evicted.Add(1)
	}
}

// nextEvicted returns the oldest connection without unread data, or the oldest one if all have some. So a flood of
// connections does not evict a collector whose first line was received but not read yet. The caller holds mu, and
// there is a connection.
func (u *unidentified) nextEvicted() *list.Element {
	for place := u.conns.Front(); place != nil; place = place.Next() {
		if conn, ok := place.Value.(net.Conn); ok && connstate.Peek(conn) != connstate.Readable {
			return place
		}
	}
	return u.conns.Front()
}
