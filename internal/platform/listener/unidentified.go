package listener

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"indigousher/internal/platform/connstate"
)

// unidentifiedConns holds the connections that have not identified themselves as a collector and bounds their number.
type unidentifiedConns struct {
	limit   int
	evicted *atomic.Int64

	mu    sync.Mutex
	conns *list.List // of net.Conn, oldest first
}

// add adds a connection, after evicting others if there is no room. It returns the place of the connection for
// remove.
func (u *unidentifiedConns) add(conn net.Conn) *list.Element {
	u.evictTo(u.limit - 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns.PushBack(conn)
}

// remove removes a connection. It does nothing if the connection was evicted.
func (u *unidentifiedConns) remove(element *list.Element) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns.Remove(element)
}

// evictTo closes connections until no more than remaining are left.
func (u *unidentifiedConns) evictTo(remaining int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.conns.Len() > remaining {
		conn, _ := u.conns.Remove(u.evictionCandidate()).(net.Conn) // add adds nothing else
		_ = conn.Close()                                            // its data is not needed any more
		u.evicted.Add(1)
	}
}

// evictionCandidate returns the oldest connection without unread data, or the oldest one if all have some. So a flood of
// connections does not evict a collector whose first line was received but not read yet. The caller holds mu, and
// there is a connection.
func (u *unidentifiedConns) evictionCandidate() *list.Element {
	for element := u.conns.Front(); element != nil; element = element.Next() {
		if conn, ok := element.Value.(net.Conn); ok && connstate.Peek(conn) != connstate.Readable {
			return element
		}
	}
	return u.conns.Front()
}
