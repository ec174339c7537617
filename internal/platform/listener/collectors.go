package listener

import (
	"net"
	"slices"
)

// collectorsEach is how many connections of a zone's collector may stand: one that was cut off without a sign may have
// something left to read when the next one comes, and no more than that.
const collectorsEach = 2

// replace notes a collector's connection; the oldest of its zone goes where there are too many.
func (d *Listener) replace(zone string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := append(d.joined[zone], conn)
	if len(all) > collectorsEach {
		_ = all[0].Close()
		all = slices.Delete(all, 0, 1)
	}
	d.joined[zone] = all
}

func (d *Listener) forget(zone string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.joined[zone] = slices.DeleteFunc(d.joined[zone], func(c net.Conn) bool { return c == conn })
}
