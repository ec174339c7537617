package listener

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/platform/peek"
)

// TestCollectorAmongHundreds guards that strangers that say nothing take no more than their part of the descriptors,
// and that a collector joins all the same.
func TestCollectorAmongHundreds(t *testing.T) {
	d, b, dial := startListener(t, 20)
	for range 300 {
		dial()
	}
	conn := dial()
	_, err := io.WriteString(conn, "collector locality=b\r\nusage node=3 route=read total=4 errors=1 interval=500\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.all()) == 1 }, 5*time.Second, time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.LessOrEqual(t, d.unidentified.Len(), 20)
	assert.GreaterOrEqual(t, d.Counters.Evicted.Load(), int64(250))
}

// TestEvictionSparesJoiningCollector guards a collector whose line has come and is not read yet while strangers take all the
// places: one of them goes in its stead. Where all have said something the oldest goes.
func TestEvictionSparesJoiningCollector(t *testing.T) {
	for name, c := range map[string]struct {
		says []string // in the order of their coming, three places
		gone int
	}{
		"nobody says anything":   {[]string{"", "", "", ""}, 0},
		"a collector came first": {[]string{"collector locality=a\r\n", "", "", ""}, 1},
		"half a line":            {[]string{"coll", "ping\r\n", "", ""}, 2},
		"all say something":      {[]string{"x", "x", "x", "x"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			d := New([]string{"a"}, 3, &inbox{}, zap.NewNop())
			var peers []net.Conn
			for _, text := range c.says {
				peer, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer peer.Close()
				_, err = io.WriteString(peer, text)
				require.NoError(t, err)
				conn, err := l.Accept()
				require.NoError(t, err)
				defer conn.Close()
				require.Eventually(t, func() bool { return text == "" || peek.Peek(conn) == peek.Readable }, 5*time.Second, time.Millisecond)
				d.add(conn)
				peers = append(peers, peer)
			}
			require.Eventually(t, func() bool { return peek.Peek(peers[c.gone]) == peek.Closed }, 5*time.Second, time.Millisecond)
			for i, peer := range peers {
				assert.Equal(t, i == c.gone, peek.Peek(peer) == peek.Closed, "number %d", i)
			}
		})
	}
}
