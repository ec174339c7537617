package transport_test

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/transport/framed"
	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox records inputs in order.
type inbox struct{ got chan controller.Input }

func (i *inbox) Post(ctx context.Context, in controller.Input) error {
	select {
	case i.got <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func next[T any](t *testing.T, i *inbox) T {
	t.Helper()
	for {
		select {
		case in := <-i.got:
			if x, ok := in.(T); ok {
				return x
			}
		case <-time.After(10 * time.Second):
			var x T
			require.FailNow(t, "nothing came", "%T", x)
		}
	}
}

// server is the interface that the contract requires of a transport.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
	Kill()
	Streams() int
}

// transport creates both ends of a transport.
type transport struct {
	name  string
	serve func(in *inbox, store *identity.KeyStore) server
	join  func(c *tls.Config) proxy.Joiner
}

const (
	beat = 100 * time.Millisecond
	seen = 600 * time.Millisecond
)

var transports = []transport{
	{"framed", func(in *inbox, store *identity.KeyStore) server {
		return framed.NewServer(framed.ListenerConfig{
			Pilot: "one", Beat: beat, Period: time.Second, WriteDeadline: time.Second,
			SeenWithin: seen, HelloDeadline: time.Second, MaxStreams: 5000, Queue: 64,
		}, in, zap.NewNop())
	}, proxy.Framed},
	{"grpc", func(in *inbox, store *identity.KeyStore) server {
		return grpcapi.New(grpcapi.ListenerConfig{
			Pilot: "one", Beat: beat, Period: time.Second, SeenWithin: seen,
			HelloIn: time.Second, MaxMessage: 1 << 20, MaxStreams: 5000, QueueLines: 4000, Keys: store,
		}, in, zap.NewNop())
	}, func(c *tls.Config) proxy.Joiner { return proxy.GRPC(c, false) }},
}

func start(t *testing.T, tr transport, store *identity.KeyStore) (server, *inbox, string, func()) {
	in := &inbox{make(chan controller.Input, 8192)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	if store != nil && tr.name == "framed" {
		l = tls.NewListener(l, store.Server(identity.Proxy))
	}
	s := tr.serve(in, store)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	stop := sync.OnceFunc(func() { cancel(); assert.NoError(t, <-done) })
	t.Cleanup(stop)
	return s, in, address, stop
}

var dial = (&net.Dialer{}).DialContext

func hello() *wire.Hello {
	return &wire.Hello{
		Version: 1, Proxy: "p", Zone: "a", Boot: 3, Rate: 2, Fresh: true, Holds: []string{"x"},
		Tables: []wire.HeldTable{{Table: 2, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 0.5}}}},
	}
}

// read returns the next message other than a heartbeat, and sends heartbeats meanwhile.
func read(t *testing.T, l proxy.Stream) wire.Message {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		m, err := l.Read(5 * time.Second)
		require.NoError(t, err)
		if _, is := m.(*wire.Heartbeat); !is {
			return m
		}
		require.NoError(t, l.Write(&wire.Heartbeat{LastProcessed: l.Last()}, time.Second))
	}
	require.Fail(t, "only beats")
	return nil
}

// ends waits for the end of a line and returns the last message other than a heartbeat.
func ends(l proxy.Stream) (last wire.Message) {
	for {
		m, err := l.Read(5 * time.Second)
		if err != nil {
			return last
		}
		if _, is := m.(*wire.Heartbeat); !is {
			last = m
		}
	}
}
