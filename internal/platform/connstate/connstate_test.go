package connstate

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// connPair returns both ends of a new TCP connection. They are closed when the test ends.
func connPair(t *testing.T) (conn, other net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	other, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	return conn, other
}

// TestPeek checks the state that each action of the peer leads to, and that Peek consumes no data.
func TestPeek(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(other *net.TCPConn) error
		want State
	}{
		"nothing":          {func(*net.TCPConn) error { return nil }, Idle},
		"sends":            {func(o *net.TCPConn) error { _, err := o.Write([]byte("x")); return err }, Readable},
		"closes":           {func(o *net.TCPConn) error { return o.Close() }, Closed},
		"resets":           {func(o *net.TCPConn) error { _ = o.SetLinger(0); return o.Close() }, Closed},
		"sends and closes": {func(o *net.TCPConn) error { _, _ = o.Write([]byte("x")); return o.Close() }, Readable},
	} {
		t.Run(name, func(t *testing.T) {
			conn, other := connPair(t)
			tcp, ok := other.(*net.TCPConn)
			require.True(t, ok)
			require.NoError(t, c.act(tcp))
			require.Eventually(t, func() bool { return Peek(conn) == c.want }, 5*time.Second, time.Millisecond)
			assert.Equal(t, c.want, Peek(conn), "the first Peek consumed data")
		})
	}
	assert.Equal(t, Idle, Peek(nil))
}

// TestPeekWhileRead checks that Peek does not block while another goroutine reads from the connection.
func TestPeekWhileRead(t *testing.T) {
	conn, other := connPair(t)
	reading := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		close(reading)
		_, _ = conn.Read(make([]byte, 1))
	}()
	<-reading
	peeked := make(chan State)
	go func() { peeked <- Peek(conn) }()
	select {
	case state := <-peeked:
		assert.Equal(t, Idle, state)
	case <-time.After(5 * time.Second):
		t.Error("Peek waits for the reader")
		_ = other.Close()
		<-peeked
	}
	require.NoError(t, conn.Close())
	<-ended
}
