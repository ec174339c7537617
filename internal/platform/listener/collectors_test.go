package listener

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connectionCount returns the number of open collector connections of a zone.
func (c *collectorConns) connectionCount(zone string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byZone[zone])
}

// TestCollectorReconnects checks that a collector which reconnects repeatedly, without closing its old connections,
// does not use up the file descriptors: the oldest connections are closed.
func TestCollectorReconnects(t *testing.T) {
	l, _, dial := startListener(t, 20)
	var conns []net.Conn
	for i := range 5 {
		conns = append(conns, dial())
		_, err := io.WriteString(conns[i], "collector locality=b\r\n")
		require.NoError(t, err)
		eventually(t, func() bool { return l.Counters.Collectors.Load() == int64(i+1) })
	}
	require.NoError(t, conns[0].SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conns[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	assert.Equal(t, maxCollectorsPerZone, l.collectors.connectionCount("b"))
}

// TestOverlappingCollectorConnections checks a collector that opens a new connection before it closes the old one.
// Closing the old connection, within a line, must not affect reports on the new one. Neither must another connection
// that is reset while it is being rejected.
func TestOverlappingCollectorConnections(t *testing.T) {
	l, b, dial := startListener(t, 20)
	join := func(number int64) net.Conn {
		conn := dial()
		_, err := io.WriteString(conn, "collector locality=a\r\n")
		require.NoError(t, err)
		eventually(t, func() bool { return l.Counters.Collectors.Load() == number })
		return conn
	}
	older := join(1)
	newer := join(2)
	_, err := io.WriteString(older, proxyLine+"usage node=3 route=re") // the last line is incomplete
	require.NoError(t, err)
	eventually(t, func() bool { return len(b.all()) == 1 })
	require.NoError(t, older.Close())
	eventually(t, func() bool { return l.collectors.connectionCount("a") == 1 })

	resetConn, ok := dial().(*net.TCPConn)
	require.True(t, ok)
	_, err = io.WriteString(resetConn, strings.Repeat("x", 1000))
	require.NoError(t, err)
	require.NoError(t, resetConn.SetLinger(0))
	require.NoError(t, resetConn.Close())

	_, err = io.WriteString(newer, proxyLine)
	require.NoError(t, err)
	eventually(t, func() bool { return len(b.all()) == 2 })
	assert.Equal(t, b.all()[0], b.all()[1], "an incomplete line was posted")
}
