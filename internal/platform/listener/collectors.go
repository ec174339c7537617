package listener

import (
	"net"
	"slices"
	"sync"
)

// maxCollectorsPerZone is the maximum number of open collector connections per zone. It is 2 because a collector that
// loses its connection reconnects while the old connection may still hold unread reports.
const maxCollectorsPerZone = 2

// collectorConns holds the open connections of collectors. Its methods may be called from any goroutine.
type collectorConns struct {
	mu     sync.Mutex
	byZone map[string][]net.Conn // the connections of each zone, oldest first
}

// add adds a collector's connection. It closes and removes the zone's oldest connection if there are now more than
// maxCollectorsPerZone.
func (c *collectorConns) add(zone string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := append(c.byZone[zone], conn)
	if len(conns) > maxCollectorsPerZone {
		_ = conns[0].Close() // replaced by the two newer connections
		conns = slices.Delete(conns, 0, 1)
	}
	c.byZone[zone] = conns
}

// remove removes a connection. It does nothing if add has removed the connection already.
func (c *collectorConns) remove(zone string, conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byZone[zone] = slices.DeleteFunc(c.byZone[zone], func(other net.Conn) bool { return other == conn })
}
