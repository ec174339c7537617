package listener

import (
	"net"
	"slices"
	"sync"
)

// maxCollectorsPerZone is how many connections a zone's collector may have open: after a silent loss of its
// connection the old one may still have data to read when the next one is opened.
const maxCollectorsPerZone = 2

// collectorConns holds the connections of collectors.
type collectorConns struct {
	mu     sync.Mutex
	byZone map[string][]net.Conn // oldest first
}

// add adds a collector's connection and closes the oldest one of its zone if there are too many.
func (c *collectorConns) add(zone string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := append(c.byZone[zone], conn)
	if len(conns) > maxCollectorsPerZone {
		_ = conns[0].Close() // two newer ones have replaced it
		conns = slices.Delete(conns, 0, 1)
	}
	c.byZone[zone] = conns
}

// remove removes a connection. It does nothing if the connection was replaced.
func (c *collectorConns) remove(zone string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byZone[zone] = slices.DeleteFunc(c.byZone[zone], func(other net.Conn) bool { return other == conn })
}
