package listener

import (
	"net"
	"slices"
	"sync"
)

// maxCollectorsPerZone is how many connections of a zone's collector may stand: one that was cut off without a sign may
// have something left to read when the next one comes, and no more than that.
const maxCollectorsPerZone = 2

// collectors holds the connections of collectors.
type collectors struct {
	mu     sync.Mutex
	byZone map[string][]net.Conn // oldest first
}

// add notes a collector's connection and closes the oldest of its zone where there are too many.
func (c *collectors) add(zone string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := append(c.byZone[zone], conn)
	if len(conns) > maxCollectorsPerZone {
		_ = conns[0].Close() // it has been replaced twice
		conns = slices.Delete(conns, 0, 1)
	}
	c.byZone[zone] = conns
}

// remove forgets a connection; one that was replaced is forgotten already.
func (c *collectors) remove(zone string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byZone[zone] = slices.DeleteFunc(c.byZone[zone], func(other net.Conn) bool { return other == conn })
}
