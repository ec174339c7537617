package listener

import (
	"container/list"
	"net"

	"indigousher/internal/platform/peek"
)

// add notes a connection that has not joined; where there are too many, the oldest goes.
func (d *Listener) add(conn net.Conn) *list.Element {
	d.evict(d.maxUnidentified - 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unidentified.PushBack(conn)
}

// evict closes the oldest strangers until no more than so many are left, first those that have sent nothing that waits
// to be read: a collector whose line has come, but not its turn, is not lost to a flood.
func (d *Listener) evict(left int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.unidentified.Len() > left {
		goes := d.unidentified.Front()
		for place := goes; place != nil; place = place.Next() {
			if conn, ok := place.Value.(net.Conn); ok && peek.Peek(conn) != peek.Readable {
				goes = place
				break
			}
		}
		conn, _ := d.unidentified.Remove(goes).(net.Conn)
		_ = conn.Close()
		d.Counters.Evicted.Add(1)
	}
}

func (d *Listener) remove(place *list.Element) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unidentified.Remove(place) // does nothing where it is gone
}
