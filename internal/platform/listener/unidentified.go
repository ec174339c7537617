package listener

import (
	"container/list"
	"net"

	"indigousher/internal/platform/peek"
)

// enter notes a connection that has not joined; where there are too many, the oldest goes.
func (d *Listener) enter(conn net.Conn) *list.Element {
	d.evict(d.most - 1)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waiting.PushBack(conn)
}

// evict closes the oldest strangers until no more than so many are left, first those that have sent nothing that waits
// to be read: a collector whose line has come, but not its turn, is not lost to a flood.
func (d *Listener) evict(left int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.waiting.Len() > left {
		goes := d.waiting.Front()
		for place := goes; place != nil; place = place.Next() {
			if conn, ok := place.Value.(net.Conn); ok && peek.At(conn) != peek.Data {
				goes = place
				break
			}
		}
		conn, _ := d.waiting.Remove(goes).(net.Conn)
		_ = conn.Close()
		d.Counters.Evicted.Add(1)
	}
}

func (d *Listener) leave(place *list.Element) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiting.Remove(place) // does nothing where it is gone
}
