package framed

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox records the posted inputs in order.
type inbox struct {
	mu  sync.Mutex
	got []controller.Input
}

// Post implements controller.Inbox.
func (i *inbox) Post(_ context.Context, in controller.Input) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.got = append(i.got, in)
	return nil
}

// joined waits until the proxy with the given name has joined and returns its stream.
func (i *inbox) joined(t *testing.T, name string) (s controller.Stream) {
	require.Eventually(t, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		for _, in := range i.got {
			if j, ok := in.(controller.ProxyJoined); ok && j.Hello.Proxy == name {
				s = j.Stream
			}
		}
		return s != nil
	}, 5*time.Second, time.Millisecond)
	return s
}

// left waits until exactly one ProxyLeft input has been posted for a stream.
func (i *inbox) left(t *testing.T, s controller.Stream) {
	require.Eventually(t, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		n := 0
		for _, in := range i.got {
			if l, ok := in.(controller.ProxyLeft); ok && l.Stream == s {
				n++
			}
		}
		return n == 1
	}, 5*time.Second, time.Millisecond)
}

// serve starts a server with short timeouts, which change may modify unless it is nil. It returns the server, its
// inbox, its address and a function that stops it.
func serve(t *testing.T, change func(*ListenerConfig)) (*Server, *inbox, string, context.CancelFunc) {
	config := ListenerConfig{
		Pilot: "one", HeartbeatInterval: 100 * time.Millisecond, ReportInterval: time.Second, WriteTimeout: 200 * time.Millisecond,
		HelloTimeout: 300 * time.Millisecond, AckTimeout: 500 * time.Millisecond, MaxFrameBytes: 4096, MaxStreams: 3, MaxQueuedMessages: 4,
	}
	if change != nil {
		change(&config)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	in := &inbox{}
	s := NewServer(config, in, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-done) })
	return s, in, l.Addr().String(), cancel
}

// dial connects to an address, with a deadline of 10 s for the whole connection.
func dial(t *testing.T, address string) net.Conn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// join connects a proxy with the given name and waits for the Welcome.
func join(t *testing.T, address, name string) (net.Conn, *wire.Reader, *wire.Writer) {
	c := dial(t, address)
	w, r := wire.NewWriter(c), wire.NewReader(c, 0)
	_, err := w.Write(&wire.Hello{Version: wire.Version, Proxy: name, Zone: "a"})
	require.NoError(t, err)
	m, err := r.Read()
	require.NoError(t, err)
	require.IsType(t, &wire.Welcome{}, m)
	return c, r, w
}

// untilEnd reads until the stream ends and returns the last message other than a heartbeat, or nil if there was none.
func untilEnd(r *wire.Reader) (last wire.Message) {
	for {
		m, err := r.Read()
		if err != nil {
			return last
		}
		if _, beat := m.(*wire.Heartbeat); !beat {
			last = m
		}
	}
}

// TestBadStreams checks that invalid data or silence on one stream ends only that stream.
func TestBadStreams(t *testing.T) {
	rawFrame := func(size uint32, kind byte, number uint32, body string) []byte {
		b := binary.BigEndian.AppendUint32(nil, size)
		return append(binary.BigEndian.AppendUint32(append(b, kind), number), body...)
	}
	for _, c := range []struct {
		name  string
		after []byte // data sent after the Hello
	}{
		{"a frame beyond the limit", rawFrame(5000, 4, 2, "")},
		{"a frame out of order", rawFrame(1, 4, 7, "\x00")},
		{"a repeated frame", append(rawFrame(1, 4, 2, "\x00"), rawFrame(1, 4, 2, "\x00")...)},
		{"an unknown type", rawFrame(0, 99, 2, "")},
		{"a body that ends too early", rawFrame(3, 5, 2, "abc")},
		{"a message that proxies don't send", rawFrame(1, 3, 2, "\x00")},
		{"another protocol", []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"half a frame, then silence", rawFrame(10, 5, 2, "abc")},
		{"silence", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, in, address, _ := serve(t, nil)
			_, goodR, goodW := join(t, address, "good")
			bad, badR, _ := join(t, address, "bad")
			_, err := bad.Write(c.after)
			require.NoError(t, err)
			ended := make(chan bool)
			go func() { untilEnd(badR); close(ended) }()
			for open := true; open; {
				select {
				case <-ended:
					open = false
				case <-time.After(50 * time.Millisecond):
				}
				_, err := goodW.Write(&wire.Heartbeat{})
				require.NoError(t, err)
			}
			in.left(t, in.joined(t, "bad"))
			require.NoError(t, in.joined(t, "good").Send(&wire.Commands{CostLines: 5}))
			for {
				m, err := goodR.Read()
				require.NoError(t, err)
				if _, isCommands := m.(*wire.Commands); isCommands {
					return
				}
			}
		})
	}
}

// TestRefusedHellos checks which Refuse message answers an invalid first message.
func TestRefusedHellos(t *testing.T) {
	for _, c := range []struct {
		name   string
		first  wire.Message
		answer wire.Message
	}{
		{"no hello", &wire.Heartbeat{}, &wire.Refuse{Reason: "a hello must come first"}},
		{
			"another version", &wire.Hello{Version: 9, Proxy: "p", Zone: "a"},
			&wire.Refuse{Reason: "version 9 is not spoken here, 1 is"},
		},
		{"nothing at all", nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, in, address, _ := serve(t, nil)
			conn := dial(t, address)
			if c.first != nil {
				_, err := wire.NewWriter(conn).Write(c.first)
				require.NoError(t, err)
			}
			assert.Equal(t, c.answer, untilEnd(wire.NewReader(conn, 0)))
			assert.Eventually(t, func() bool { return s.Streams() == 0 }, time.Second, time.Millisecond)
			assert.Empty(t, in.got)
		})
	}
}

// TestSlowReader checks that the stream of a proxy that does not read is closed, because a write times out or the queue
// is full, and that other proxies are not affected.
func TestSlowReader(t *testing.T) {
	_, in, address, _ := serve(t, nil)
	_, r, w := join(t, address, "quick")
	join(t, address, "slow")
	slow, quick := in.joined(t, "slow"), in.joined(t, "quick")
	large := &wire.Commands{}
	for range 20000 {
		large.Ops = append(large.Ops, wire.Op{Kind: wire.OpSetWeight, Endpoint: "127.0.0.1:12345", Weight: 1})
	}
	received := make(chan int, 1)
	go func() {
		n := 0
		for n < 20 {
			m, err := r.Read()
			if err != nil {
				break
			}
			if _, ok := m.(*wire.Commands); ok {
				n++
				_, _ = w.Write(&wire.Heartbeat{})
			}
		}
		received <- n
	}()
	var slowErr error
	for range 20 {
		if slowErr == nil {
			slowErr = slow.Send(large)
		}
		for quick.Send(&wire.Commands{CostLines: 1}) != nil {
			time.Sleep(time.Millisecond)
		}
	}
	if slowErr != nil {
		assert.ErrorIs(t, slowErr, ErrSlow)
		slow.Close(slowErr.Error())
	}
	assert.Equal(t, 20, <-received)
	in.left(t, slow)
}

// TestUnacknowledged checks that the stream of a proxy is closed if the proxy keeps sending heartbeats but does not
// acknowledge a frame within AckTimeout.
func TestUnacknowledged(t *testing.T) {
	_, in, address, _ := serve(t, nil)
	c, r, w := join(t, address, "deaf")
	st := in.joined(t, "deaf")
	sendHeartbeats := func(lastProcessed uint32, during time.Duration) (err error) {
		for end := time.Now().Add(during); time.Now().Before(end) && err == nil; time.Sleep(20 * time.Millisecond) {
			_, err = w.Write(&wire.Heartbeat{LastProcessed: lastProcessed})
		}
		return err
	}
	require.NoError(t, st.Send(&wire.Commands{CostLines: 1}))
	require.NoError(t, sendHeartbeats(1, 300*time.Millisecond))
	for r.Last() < 2 {
		_, err := r.Read()
		require.NoError(t, err)
	}
	require.NoError(t, sendHeartbeats(9, 700*time.Millisecond), "every frame is acknowledged")
	require.NoError(t, st.Send(&wire.Commands{CostLines: 1}))
	assert.Error(t, sendHeartbeats(1, 5*time.Second))
	in.left(t, st)
	_ = c.Close() // the server has closed the connection already
}

// TestStop checks that a stopped server redirects its proxies and that a killed server sends no last message.
func TestStop(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(*Server, context.CancelFunc)
		want wire.Message
	}{
		{"stopped", func(_ *Server, cancel context.CancelFunc) { cancel() }, &wire.Redirect{Reason: "this pilot stops"}},
		{"killed", func(s *Server, _ context.CancelFunc) { s.Kill() }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, in, address, cancel := serve(t, nil)
			_, r, _ := join(t, address, "p")
			in.joined(t, "p")
			c.stop(s, cancel)
			assert.Equal(t, c.want, untilEnd(r))
			in.left(t, in.joined(t, "p"))
		})
	}
}

// TestMaxStreams checks that a stream beyond MaxStreams is closed and that a new one is accepted after another has
// ended.
func TestMaxStreams(t *testing.T) {
	s, _, address, _ := serve(t, func(config *ListenerConfig) { config.MaxStreams = 1; config.HeartbeatInterval = time.Second })
	_, _, w := join(t, address, "first")
	assert.Nil(t, untilEnd(wire.NewReader(dial(t, address), 0)))
	assert.Equal(t, 1, s.Streams())
	_, err := w.Write(&wire.Bye{})
	require.NoError(t, err)
	assert.Eventually(t, func() bool { return s.Streams() == 0 }, time.Second, time.Millisecond)
	join(t, address, "second")
}

// exhaustedListener is a listener whose Accept first fails a number of times for lack of file descriptors.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32 // remaining failures
}

// Accept implements net.Listener.
func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestNoDescriptor checks that Serve continues after a temporary lack of file descriptors and returns an error if the
// listener is closed.
func TestNoDescriptor(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	exhausted := &exhaustedListener{Listener: l}
	exhausted.failures.Store(3)
	in := &inbox{}
	s := NewServer(ListenerConfig{
		Pilot: "one", HeartbeatInterval: time.Second, ReportInterval: time.Second, WriteTimeout: time.Second, AckTimeout: time.Second,
		HelloTimeout: 5 * time.Second, MaxStreams: 3, MaxQueuedMessages: 4,
	}, in, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, exhausted) }()
	join(t, l.Addr().String(), "p")
	in.joined(t, "p")
	cancel()
	assert.NoError(t, <-done)
	closed := &exhaustedListener{Listener: l} // closed when the first Serve returned, which is a permanent error
	assert.ErrorIs(t, s.Serve(t.Context(), closed), net.ErrClosed)
}

// TestRefused checks that the reason passed to Stream.Close is sent to the proxy.
func TestRefused(t *testing.T) {
	_, in, address, _ := serve(t, nil)
	c, r, _ := join(t, address, "p")
	in.joined(t, "p").Close("unknown zone")
	assert.Equal(t, &wire.Refuse{Reason: "unknown zone"}, untilEnd(r))
	_, err := c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}
