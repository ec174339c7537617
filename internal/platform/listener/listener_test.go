package listener

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/pilot"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type inbox struct {
	mu  sync.Mutex
	got []pilot.Input
}

func (b *inbox) Post(_ context.Context, in pilot.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, in)
	return nil
}

func (b *inbox) all() []pilot.Input {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]pilot.Input{}, b.got...)
}

// startListener starts a listener and returns how to dial it.
func startListener(t *testing.T, most int) (*Listener, *inbox, func() net.Conn) {
	b := &inbox{}
	d := New([]string{"a", "b"}, most, b, zap.NewNop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })
	return d, b, func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
}
