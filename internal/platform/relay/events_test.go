package relay

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/controller"
)

// inbox keeps inputs, short.
type inbox struct {
	mu  sync.Mutex
	got []string
}

func (b *inbox) Post(_ context.Context, in controller.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch in := in.(type) {
	case controller.RelayProxyJoined:
		b.got = append(b.got, fmt.Sprint(map[bool]string{true: "stood ", false: "joined "}[in.Resumed], in.Proxy))
	case controller.RelayProxyLeft:
		b.got = append(b.got, fmt.Sprint("left ", in.Proxy))
	case controller.RelayStalled:
		text := fmt.Sprint("stalled ", in.ForMs > 0, " ", in.Repeated)
		if len(in.Merged) > 0 {
			text += fmt.Sprint(" joined ", in.Merged)
		}
		b.got = append(b.got, text)
	case controller.RelayAck:
		b.got = append(b.got, fmt.Sprint("applied ", in.Proxy, " ", in.Mark))
	}
	return nil
}

func (b *inbox) all() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.got...)
}

func joined(p int, cold bool) string {
	return fmt.Sprintf(`{"type":"joined","object":{"node":%d,"locality":"a","w":2.5,"cold":%t}}`, p, cold)
}
func left(p int) string { return fmt.Sprintf(`{"type":"left","object":{"node":%d}}`, p) }
func applied(p, mark int) string {
	return fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":3}}`, p, mark)
}

// TestEvents drives both streams by hand: "0 open", "0 quiet" (its opening is over), "0 close", "0 silent" (it ended in
// silence), "gap" (time passes with nothing open), or a line and what it says.
func TestEvents(t *testing.T) {
	for name, c := range map[string]struct {
		steps []string
		want  []string
	}{
		"told once": {[]string{"0 open", "1 open", "0" + joined(1, true), "1" + joined(1, true), "0" + applied(1, 7), "1" + applied(1, 7),
			"0" + left(1), "1" + left(1)}, []string{"joined 1", "applied 1 7", "left 1"}},
		"a start: the second tells first": {[]string{"0 open", "1 open", "1" + joined(1, true), "0" + joined(1, true), "0" + joined(2, true),
			"1" + joined(2, true), "0 quiet", "1 quiet"}, []string{"joined 1", "joined 2"}},
		"a gap: the second tells first": {[]string{"0 open", "0" + joined(1, true), "0 quiet", "0 close", "gap", "0 open", "1 open",
			"1" + joined(1, true), "0" + joined(1, true)}, []string{"joined 1", "joined 1"}},
		"comes back": {[]string{"0 open", "0" + joined(1, true), "0" + left(1), "0" + joined(1, false)}, []string{"joined 1", "left 1", "joined 1"}},
		"one line breaks": {[]string{"0 open", "1 open", "0" + joined(1, true), "0" + joined(2, true), "0 quiet", "1 quiet", "0 close",
			"1" + left(2), "0 open", "0" + joined(1, false), "0 quiet"}, []string{"joined 1", "joined 2", "left 2"}},
		"a gap: who is not told has left, who stands may have come back": {[]string{"0 open", "0" + joined(1, true), "0" + joined(2, true),
			"0 quiet", "0 close", "gap", "0 open", "0" + joined(1, false), "0 quiet"},
			[]string{"joined 1", "joined 2", "stood 1", "left 2"}},
		"a gap: one that started anew has not stood": {[]string{"0 open", "0" + joined(1, false), "0 quiet", "0 close", "gap", "0 open",
			"0" + joined(1, true)}, []string{"joined 1", "joined 1"}},
		"a short gap: who stands has stood": {[]string{"0 open", "0" + joined(1, true), "0" + joined(2, true), "0 quiet", "0 close",
			"0 open", "0" + joined(1, false), "0" + joined(2, true), "0 quiet"}, []string{"joined 1", "joined 2", "joined 2"}},
		"an opening that breaks tells nobody's end": {[]string{"0 open", "0" + joined(1, true), "0 quiet", "0 close", "gap", "0 open", "0 close",
			"0 open", "0" + joined(1, false), "0 quiet"}, []string{"joined 1", "stood 1"}},
		"answers of strangers": {[]string{"0 open", "0" + applied(4, 1), "0" + left(4), "0{}", `0{"type":"joined","object":{}}`}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b := &inbox{}
			n := NewEventStream("", b, &Counters{}, zap.NewNop())
			for i := range n.streams {
				n.streams[i].cut = func() {}
			}
			for _, s := range c.steps {
				i := int(s[0] - '0')
				switch {
				case s == "gap":
					n.covered = n.covered.Add(-time.Minute)
				case s[1:] == " open":
					n.opened(i)
				case s[1:] == " quiet":
					n.stands(context.Background(), i)
				case s[1:] == " close":
					n.closed(i, false)
				default:
					require.NoError(t, n.take(context.Background(), i, []byte(s[1:])))
				}
			}
			assert.Equal(t, c.want, b.got)
		})
	}
}

// TestASilentLineHasTheOtherOpenAnew guards what happened after a line fell silent and before the other stood.
func TestASilentLineHasTheOtherOpenAnew(t *testing.T) {
	n, cut := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop()), 0
	n.streams[0].cut, n.streams[1].cut = func() {}, func() { cut++ }
	n.opened(0)
	n.stands(context.Background(), 0)
	time.Sleep(time.Millisecond)
	n.opened(1)
	n.closed(0, true)
	assert.Equal(t, 1, cut)
}

// TestEventsBreakInALine guards what is cut off in the middle of an event stream: half of a proxy's leaving is nothing.
func TestEventsBreakInALine(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	b := &inbox{}
	n := NewEventStream(l.Addr().String(), b, &Counters{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, 0) }()
	whole := joined(1, true) + "\n" + left(1) + "\n"
	for cut := len(joined(1, true)) + 2; cut < len(whole); cut += 7 {
		conn, err := l.Accept()
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 4096))
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(whole), whole[:cut])
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	conn, err := l.Accept() // the streams before it have ended
	require.NoError(t, err)
	defer conn.Close()
	cancel()
	assert.NoError(t, <-ended)
	for _, what := range b.all() {
		assert.Equal(t, "joined 1", what)
	}
	assert.NotEmpty(t, b.all())
}

// TestOpeningOfThousands guards proxies that are told late at an opening: one that counted as over after a fixed time had
// them leave and join, bound anew.
func TestOpeningOfThousands(t *testing.T) {
	n := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
	assert.LessOrEqual(t, n.opening(0), time.Duration(0), "not open")
	n.opened(0)
	for p := range 2400 {
		n.streams[0].stands = n.streams[0].stands.Add(-time.Minute) // long ago
		assert.LessOrEqual(t, n.opening(0), time.Duration(0))
		require.NoError(t, n.take(context.Background(), 0, []byte(joined(p, false))))
		assert.Positive(t, n.opening(0), "another may follow")
	}
	n.stands(context.Background(), 0)
	assert.Zero(t, n.opening(0))
}

// TestEventsOnSockets has events cut anywhere, chunk by chunk, a silent relay left for another, and nothing more written.
func TestEventsOnSockets(t *testing.T) {
	serve := func(text string, hold bool) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = conn.Close() })
				go func() {
					buf := make([]byte, 4096)
					_, _ = conn.Read(buf)
					_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
					for len(text) > 0 {
						n := min(5, len(text))
						_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", n, text[:n])
						text = text[n:]
					}
					_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
					n, err := conn.Read(buf)
					if n > 0 || os.IsTimeout(err) && !hold {
						t.Error("something was written on an event stream")
					}
				}()
			}
		}()
		return l.Addr().String()
	}
	b := &inbox{}
	n := NewEventStream(serve(joined(1, true)+"\n"+joined(2, true)+"\n", true), b, &Counters{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, 0) }()
	require.Eventually(t, func() bool { return len(b.all()) == 2 }, 5*time.Second, time.Millisecond)
	n.SetAddress(serve(joined(3, true)+"\n", true))
	require.Eventually(t, func() bool { return len(b.all()) >= 3 }, 5*time.Second, time.Millisecond)
	cancel()
	assert.NoError(t, <-ended)
	assert.Contains(t, b.all(), "joined 3")
}
