package proxy

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/wire"
)

// breakingConn is a connection that closes during a write of more than bears bytes.
type breakingConn struct {
	net.Conn
	bears int
}

func (f *breakingConn) Write(b []byte) (int, error) {
	if len(b) <= f.bears {
		return f.Conn.Write(b)
	}
	_, _ = f.Conn.Write(b[:f.bears])
	_ = f.Close()
	return f.bears, errors.New("broken")
}

// TestProof checks which errors mean that a request was not sent. A failed dial does. A connection that closes while
// the request is written, or before the answer, does not, because the endpoint may have received the whole request.
func TestProof(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }() // the test is over
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = wire.NewReader(c, 0).Read()
				_ = c.Close()
			}()
		}
	}()
	for name, x := range map[string]struct {
		dial  Dial
		never bool
	}{
		"no connection": {func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}, true},
		"broken while it is written": {func(ctx context.Context, network, at string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, at)
			return &breakingConn{c, 7}, err
		}, false},
		"broken before the answer": {(&net.Dialer{}).DialContext, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewClient(l.Addr().String(), x.dial, time.Second)
			defer a.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := a.Do(ctx, &wire.Request{RequestID: 1, Class: "book", From: "client", WorkMs: 1, TimeoutMs: 1000})
			require.Error(t, err)
			assert.Equal(t, x.never, NotSent(err), "%v", err)
		})
	}
}
