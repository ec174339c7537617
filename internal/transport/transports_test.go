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

// inbox passes the posted inputs to the test.
type inbox struct{ got chan controller.Input }

// Post implements controller.Inbox.
func (i *inbox) Post(ctx context.Context, in controller.Input) error {
	select {
	case i.got <- in:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// next waits for the next input of type T and returns it. Inputs of other types are discarded.
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
			require.FailNow(t, "the input did not arrive", "%T", x)
		}
	}
}

// server contains the methods of a transport's server that the tests use.
type server interface {
	Serve(ctx context.Context, l net.Listener) error
	Kill()
	Streams() int
}

// transport creates the two ends of a transport.
type transport struct {
	name  string
	serve func(in *inbox, store *identity.KeyStore) server // creates a server; without TLS if store is nil
	join  func(c *tls.Config) proxy.Joiner                 // creates a client; without TLS if c is nil
}

const (
	heartbeatInterval = 100 * time.Millisecond
	ackTimeout        = 600 * time.Millisecond
)

// transports lists the transports to test.
var transports = []transport{
	{"framed", func(in *inbox, store *identity.KeyStore) server {
		return framed.NewServer(framed.ListenerConfig{
			Pilot: "one", HeartbeatInterval: heartbeatInterval, ReportInterval: time.Second, WriteTimeout: time.Second,
			AckTimeout: ackTimeout, HelloTimeout: time.Second, MaxStreams: 5000, MaxQueuedMessages: 64,
		}, in, zap.NewNop())
	}, proxy.Framed},
	{"grpc", func(in *inbox, store *identity.KeyStore) server {
		return grpcapi.New(grpcapi.ListenerConfig{
			Pilot: "one", HeartbeatInterval: heartbeatInterval, ReportInterval: time.Second, AckTimeout: ackTimeout,
			HelloTimeout: time.Second, MaxMessageBytes: 1 << 20, MaxStreams: 5000, MaxQueuedOps: 4000, Keys: store,
		}, in, zap.NewNop())
	}, func(c *tls.Config) proxy.Joiner { return proxy.GRPC(c, false) }},
}

// start starts a server, with TLS if store is not nil. It returns the server, its inbox, its address and a function
// that stops it.
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

// dial opens connections of the tests.
var dial = (&net.Dialer{}).DialContext

// newHello returns a valid Hello in which all fields are set.
func newHello() *wire.Hello {
	return &wire.Hello{
		Version: 1, Proxy: "p", Zone: "a", Boot: 3, Rate: 2, Fresh: true, Holds: []string{"x"},
		Tables: []wire.HeldTable{{Table: 2, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 0.5}}}},
	}
}

// read returns the next message other than a heartbeat. It answers each heartbeat with a heartbeat.
func read(t *testing.T, s proxy.Stream) wire.Message {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		m, err := s.Read(5 * time.Second)
		require.NoError(t, err)
		if _, isHeartbeat := m.(*wire.Heartbeat); !isHeartbeat {
			return m
		}
		require.NoError(t, s.Write(&wire.Heartbeat{LastProcessed: s.Last()}, time.Second))
	}
	require.Fail(t, "only heartbeats arrived")
	return nil
}

// readToEnd reads until the stream ends and returns the last message other than a heartbeat, or nil.
func readToEnd(s proxy.Stream) (last wire.Message) {
	for {
		m, err := s.Read(5 * time.Second)
		if err != nil {
			return last
		}
		if _, isHeartbeat := m.(*wire.Heartbeat); !isHeartbeat {
			last = m
		}
	}
}
