package listener

import (
	"net"
	"slices"
)

// maxCollectorsPerZone is how many connections of a zone's collector may stand: one that was cut off without a sign may have
// something left to read when the next one comes, and no more than that.
const maxCollectorsPerZone = 2

// addCollector notes a collector's connection; the oldest of its zone goes where there are too many.
func (d *Listener) addCollector(zone string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := append(d.collectors[zone], conn)
	if len(all) > maxCollectorsPerZone {
		_ = all[0].Close()
		all = slices.Delete(all, 0, 1)
	}
	d.collectors[zone] = all
}

func (d *Listener) removeCollector(zone string, conn net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.collectors[zone] = slices.DeleteFunc(d.collectors[zone], func(c net.Conn) bool { return c == conn })
}
