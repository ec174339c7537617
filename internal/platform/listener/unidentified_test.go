package listener

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/platform/connstate"
)

// TestCollectorConnectsDuringFlood checks that hundreds of silent connections are limited to their share of the file
// descriptors and do not prevent a collector from connecting.
func TestCollectorConnectsDuringFlood(t *testing.T) {
	l, b, dial := startListener(t, 20)
	for range 300 {
		dial()
	}
	conn := dial()
	_, err := io.WriteString(conn, "collector locality=b\r\n"+proxyLine)
	require.NoError(t, err)
	eventually(t, func() bool { return len(b.all()) == 1 })
	l.unidentified.mu.Lock()
	defer l.unidentified.mu.Unlock()
	assert.LessOrEqual(t, l.unidentified.conns.Len(), 20)
	assert.GreaterOrEqual(t, l.Counters.Evicted.Load(), int64(250))
}

// TestEvictionSparesJoiningCollector checks that a collector whose first line was received but not read yet is not
// evicted while a connection without unread data exists. If every connection has unread data, the oldest one is
// evicted.
func TestEvictionSparesJoiningCollector(t *testing.T) {
	for name, c := range map[string]struct {
		sent    []string // by each connection, in the order of connecting; the limit is 3
		evicted int      // index of the evicted connection
	}{
		"all silent":               {[]string{"", "", "", ""}, 0},
		"collector connects first": {[]string{"collector locality=a\r\n", "", "", ""}, 1},
		"incomplete line first":    {[]string{"coll", "ping\r\n", "", ""}, 2},
		"all have unread data":     {[]string{"x", "x", "x", "x"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			socket, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = socket.Close() }()
			l := New([]string{"a"}, 3, &inbox{}, zap.NewNop())
			var peers []net.Conn
			for _, text := range c.sent {
				peer, err := net.Dial("tcp", socket.Addr().String())
				require.NoError(t, err)
				defer func() { _ = peer.Close() }()
				_, err = io.WriteString(peer, text)
				require.NoError(t, err)
				conn, err := socket.Accept()
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				eventually(t, func() bool { return text == "" || connstate.Peek(conn) == connstate.Readable })
				l.unidentified.add(conn)
				peers = append(peers, peer)
			}
			eventually(t, func() bool { return connstate.Peek(peers[c.evicted]) == connstate.Closed })
			for i, peer := range peers {
				assert.Equal(t, i == c.evicted, connstate.Peek(peer) == connstate.Closed, "connection %d", i)
			}
		})
	}
}
