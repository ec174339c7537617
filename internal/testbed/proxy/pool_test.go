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

// breakingConn is a connection that closes during a write of more than writeLimit bytes.
type breakingConn struct {
	net.Conn
	writeLimit int
}

func (f *breakingConn) Write(b []byte) (int, error) {
	if len(b) <= f.writeLimit {
		return f.Conn.Write(b)
	}
	_, _ = f.Conn.Write(b[:f.writeLimit])
	_ = f.Close()
	return f.writeLimit, errors.New("broken")
}

// TestNotSent checks which errors mean that a request was not sent. A failed dial does. A connection that closes while
// the request is written, or before the answer, does not, because the endpoint may have received the whole request.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }() // the error does not matter at the end of the test
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
	for name, tc := range map[string]struct {
		dial    Dial
		notSent bool
	}{
		"dial failed": {func(context.Context, string, string) (net.Conn, error) {
			return nil, errors.New("refused")
		}, true},
		"closed during the write": {func(ctx context.Context, network, at string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, at)
			return &breakingConn{c, 7}, err
		}, false},
		"closed before the answer": {(&net.Dialer{}).DialContext, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewClient(l.Addr().String(), tc.dial, time.Second)
			defer a.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := a.Do(ctx, &wire.Request{RequestID: 1, Class: "book", From: "client", WorkMs: 1, TimeoutMs: 1000})
			require.Error(t, err)
			assert.Equal(t, tc.notSent, NotSent(err), "%v", err)
		})
	}
}
