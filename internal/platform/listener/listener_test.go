package listener

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox is a controller.Inbox that records the posted inputs.
type inbox struct {
	mu  sync.Mutex
	got []controller.Input
}

// Post records an input.
func (b *inbox) Post(_ context.Context, in controller.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, in)
	return nil
}

// all returns the posted inputs in order, never nil.
func (b *inbox) all() []controller.Input {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]controller.Input{}, b.got...)
}

// startListener runs a listener for zones a and b until the test ends. dial opens a connection to it.
func startListener(t *testing.T, maxUnidentified int) (l *Listener, b *inbox, dial func() net.Conn) {
	b = &inbox{}
	l = New([]string{"a", "b"}, maxUnidentified, b, zap.NewNop())
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.Serve(ctx, socket) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return l, b, func() net.Conn {
		conn, err := net.Dial("tcp", socket.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}

// eventually waits up to 5 s for a condition to become true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, time.Millisecond)
}

// proxyLine is a report about a proxy.
const proxyLine = "usage node=3 route=read total=4 errors=1 interval=500\r\n"

// proxyStats is the input that proxyLine is parsed to.
var proxyStats = controller.ProxyStats{Proxy: 3, Class: "read", Requests: 4, Unanswered: 1, SpanMs: 500}
