package admin

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"indigousher/internal/controller"
)

// TestBadRequests checks that clients that send invalid, incomplete, too long or no requests get an error or are
// disconnected in time, and that other clients are served meanwhile.
func TestBadRequests(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	state := func() controller.State { return controller.State{Listed: true, LastTurn: time.Now()} }
	go func() { ended <- Serve(ctx, l, prometheus.NewRegistry(), state) }()
	defer func() {
		cancel()
		assert.NoError(t, <-ended)
	}()
	exchange := func(text string) string {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, text) // fails if the server rejects the request before it is complete
		_ = c.SetReadDeadline(time.Now().Add(4 * readTimeout))
		b, err := io.ReadAll(c)
		require.False(t, err != nil && strings.Contains(err.Error(), "timeout"), "the server must close the connection")
		return string(b)
	}
	t.Run("all", func(t *testing.T) { badRequests(t, exchange, l.Addr().String()) }) // returns when all parallel subtests have ended
}

// badRequests runs the subtests in parallel. exchange sends a text on a new connection and returns the response.
func badRequests(t *testing.T, exchange func(string) string, address string) {
	const end = "Connection: close\r\n\r\n"
	for _, c := range []struct{ name, text, want string }{
		{"good", "GET /readyz HTTP/1.1\r\nHost: x\r\n" + end, "200 OK"},
		{"state", "GET /state HTTP/1.1\r\nHost: x\r\n" + end, `"Listed":true`},
		{"unknown path", "GET /nothing HTTP/1.1\r\nHost: x\r\n" + end, "404"},
		{"not HTTP", "\x00\xff\x00\xff\r\n\r\n", "400"},
		{"a long header", "GET /state HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 1<<20) + "\r\n" + end, ""},
		{"an incomplete request line", "GET /state HT", ""},
		{"a body that is never sent", "POST /state HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			got := exchange(c.text)
			assert.Contains(t, got, c.want)
			if c.want == "" {
				assert.NotContains(t, got, "Stale\":", "the response must be only an error")
			}
		})
	}
	t.Run("many idle connections", func(t *testing.T) {
		t.Parallel()
		for range maxConns - 8 { // connections that send nothing
			c, err := net.Dial("tcp", address)
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
		}
		assert.Contains(t, exchange("GET /readyz HTTP/1.1\r\nHost: x\r\n"+end), "200 OK")
	})
}
