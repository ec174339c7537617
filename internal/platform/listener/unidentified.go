package listener

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"

	"indigousher/internal/platform/peek"
)

// unidentified holds the connections that have not identified themselves as a collector's, and bounds how many stand.
type unidentified struct {
	limit   int
	evicted *atomic.Int64

	mu    sync.Mutex
	conns *list.List // of net.Conn, oldest first
}

// add notes a connection, after the oldest have made room for it. It returns its place, for remove.
func (u *unidentified) add(conn net.Conn) *list.Element {
	u.evictTo(u.limit - 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conns.PushBack(conn)
}

// remove forgets a connection; one that was evicted is forgotten already.
func (u *unidentified) remove(place *list.Element) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns.Remove(place)
}

// evictTo closes connections until no more than so many are left.
func (u *unidentified) evictTo(remaining int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.conns.Len() > remaining {
		conn, _ := u.conns.Remove(u.nextEvicted()).(net.Conn) // add puts nothing else in
		_ = conn.Close()                                      // whatever was on it is given up
		u.evicted.Add(1)
	}
}

// nextEvicted returns the oldest connection that has sent nothing that waits to be read, or else the oldest: a
// collector whose line has come, but not its turn, is not lost to a flood. The caller holds the lock; there is a
// connection.
func (u *unidentified) nextEvicted() *list.Element {
	for place := u.conns.Front(); place != nil; place = place.Next() {
		if conn, ok := place.Value.(net.Conn); ok && peek.Peek(conn) != peek.Readable {
			return place
		}
	}
	return u.conns.Front()
}
