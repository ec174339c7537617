package listener

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"indigousher/internal/platform/connstate"
)

// unidentifiedConns holds the connections that have not identified themselves as a collector's, and limits their
// number. Its methods may be called from any goroutine.
type unidentifiedConns struct {
	limit   int           // maximum number of connections
	evicted *atomic.Int64 // counts evicted connections

	mu    sync.Mutex
	conns *list.List // elements are net.Conn, oldest first
}

// add adds a connection, after evicting others if the limit is reached. It returns the list element to pass to remove.
func (u *unidentifiedConns) add(conn net.Conn) *list.Element {
	u.evictTo(u.limit - 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns.PushBack(conn)
}

// remove removes the connection at a list element that add has returned. It does nothing if it has been evicted.
func (u *unidentifiedConns) remove(element *list.Element) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns.Remove(element)
}

// evictTo closes and removes connections until at most remaining are left.
func (u *unidentifiedConns) evictTo(remaining int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.conns.Len() > remaining {
		conn, _ := u.conns.Remove(u.evictionCandidate()).(net.Conn) // add stores only net.Conn values
		_ = conn.Close()                                            // no more data is needed from it
		u.evicted.Add(1)
	}
}

// evictionCandidate returns the oldest connection without unread data, or the oldest one if all have unread data. In
// this way a flood of connections does not evict a collector whose first line has been received but not read yet. The
// caller holds mu. conns must not be empty.
func (u *unidentifiedConns) evictionCandidate() *list.Element {
	for element := u.conns.Front(); element != nil; element = element.Next() {
		if conn, ok := element.Value.(net.Conn); ok && connstate.Peek(conn) != connstate.Readable {
			return element
		}
	}
	return u.conns.Front()
}
