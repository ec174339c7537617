package connstate

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (conn, other net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	conn, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	other, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	return conn, other
}

func TestAt(t *testing.T) {
	for name, c := range map[string]struct {
		does func(other *net.TCPConn) error
		want State
	}{
		"nothing":          {func(*net.TCPConn) error { return nil }, Quiet},
		"sends":            {func(o *net.TCPConn) error { _, err := o.Write([]byte("x")); return err }, Data},
		"closes":           {func(o *net.TCPConn) error { return o.Close() }, Gone},
		"resets":           {func(o *net.TCPConn) error { _ = o.SetLinger(0); return o.Close() }, Gone},
		"sends and closes": {func(o *net.TCPConn) error { _, _ = o.Write([]byte("x")); return o.Close() }, Data},
	} {
		t.Run(name, func(t *testing.T) {
			conn, other := pair(t)
			tcp, ok := other.(*net.TCPConn)
			require.True(t, ok)
			require.NoError(t, c.does(tcp))
			require.Eventually(t, func() bool { return At(conn) == c.want }, 5*time.Second, time.Millisecond)
			assert.Equal(t, c.want, At(conn), "looking takes nothing away")
		})
	}
	assert.Equal(t, Quiet, At(nil))
}

// TestAtWhileRead guards looking at a connection that another goroutine is reading: it must not wait for it.
func TestAtWhileRead(t *testing.T) {
	conn, other := pair(t)
	reads, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		close(reads)
		_, _ = conn.Read(make([]byte, 1))
	}()
	<-reads
	looked := make(chan State)
	go func() { looked <- At(conn) }()
	select {
	case s := <-looked:
		assert.Equal(t, Quiet, s)
	case <-time.After(5 * time.Second):
		t.Error("it waits for the reader")
		_ = other.Close()
		<-looked
	}
	require.NoError(t, conn.Close())
	<-ended
}
