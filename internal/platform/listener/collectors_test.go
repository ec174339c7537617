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

// TestCollectorReconnects guards the descriptors of collectors that are cut off without a sign and come back.
func TestCollectorReconnects(t *testing.T) {
	d, _, dial := startListener(t, 20)
	var conns []net.Conn
	for i := range 5 {
		conns = append(conns, dial())
		_, err := io.WriteString(conns[i], "collector locality=b\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return d.Counters.Collectors.Load() == int64(i+1) }, 5*time.Second, time.Millisecond)
	}
	require.NoError(t, conns[0].SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conns[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Len(t, d.collectors["b"], maxCollectorsPerZone)
}

// TestOlderCollectorConnectionClosesLast guards a zone whose collector dials anew before its old connection ends, and ends that one
// after the new one has joined: what the new one brings counts. A stranger that resets while it is refused harms nobody.
func TestOlderCollectorConnectionClosesLast(t *testing.T) {
	d, b, dial := startListener(t, 20)
	use := "usage node=3 route=read total=4 errors=1 interval=500\r\n"
	join := func(n int64) net.Conn {
		conn := dial()
		_, err := io.WriteString(conn, "collector locality=a\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return d.Counters.Collectors.Load() == n }, 5*time.Second, time.Millisecond)
		return conn
	}
	older, newer := join(1), join(2)
	_, err := io.WriteString(older, use+"usage node=3 route=re") // its last line is half
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.all()) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, older.Close())
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.collectors["a"]) == 1
	}, 5*time.Second, time.Millisecond)
	rude, ok := dial().(*net.TCPConn)
	require.True(t, ok)
	_, err = io.WriteString(rude, strings.Repeat("x", 1000))
	require.NoError(t, err)
	require.NoError(t, rude.SetLinger(0))
	require.NoError(t, rude.Close())
	_, err = io.WriteString(newer, use)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.all()) == 2 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, b.all()[0], b.all()[1], "half a line is nothing")
}
