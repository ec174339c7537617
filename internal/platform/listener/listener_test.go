package listener

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/platform/connstate"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type inbox struct {
	mu  sync.Mutex
	got []controller.Input
}

func (b *inbox) Post(_ context.Context, in controller.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, in)
	return nil
}

func (b *inbox) all() []controller.Input {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]controller.Input{}, b.got...)
}

// open starts a listener and returns how to dial it.
func open(t *testing.T, most int) (*Listener, *inbox, func() net.Conn) {
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

// TestStrangers guards that whoever is no collector gets a close or a word well within the 3 s that it is owed, and that
// nothing of it reaches the loop.
func TestStrangers(t *testing.T) {
	_, b, dial := open(t, 200)
	heard := "heard locality=a endpoint=x total=2 errors=0 rtt=1 interval=1000\r\n"
	for name, c := range map[string]struct{ send, want string }{
		"nothing":                {"", ""},
		"half a message":         {"collector local", ""},
		"a sign of life":         {"ping\r\nping\r\n", "pong\r\npong\r\n"},
		"http":                   {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "refused\r\n"},
		"tls":                    {"\x16\x03\x01\x02\x00\x01\x00\n", "refused\r\n"},
		"a zone that is none":    {"collector locality=z\r\n", "refused\r\n"},
		"a collector with more":  {"collector locality=a locality=b\r\n", "refused\r\n"},
		"a proxy's joining":      {"joined node=1 locality=a w=1 cold=1\r\n", "refused\r\n"},
		"a report not joined":    {heard, "refused\r\n"},
		"orders":                 {`{"ops":[]}` + "\n", "refused\r\n"},
		"a line without end":     {strings.Repeat("x", 1<<16), "refused\r\n"},
		"an impossible length":   {"\xff\xff\xff\xff\xff\xff\n", "refused\r\n"},
		"pong, then what is not": {"ping\r\njoin me\r\n", "pong\r\nrefused\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := dial()
			go func() { _, _ = io.WriteString(conn, c.send) }() // a close may come before all is written
			require.NoError(t, conn.SetReadDeadline(time.Now().Add(2500*time.Millisecond)))
			got, err := io.ReadAll(conn)
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "neither closed nor refused")
			assert.Equal(t, c.want, string(got))
		})
	}
	assert.Empty(t, b.all())
}

// TestCollectors guards that a spoilt report costs itself alone, wherever its line is cut.
func TestCollectors(t *testing.T) {
	good := controller.ZoneStats{Zone: "a", Endpoint: "x", Attempts: 9, Failed: 2, MeanMs: 4.5, SpanMs: 1000, Load: map[string]float64{"util": 0.5}}
	text := "heard locality=a endpoint=x total=9 errors=2 rtt=4.5 interval=1000.0 metrics=util:0.5\r\n"
	use := "usage node=3 route=read total=4 errors=1 interval=500\r\n"
	demand := controller.ProxyStats{Proxy: 3, Class: "read", Requests: 4, Unanswered: 1, SpanMs: 500}
	for name, c := range map[string]struct {
		send   string
		want   []controller.Input
		closed bool
	}{
		"both kinds":        {text + use, []controller.Input{good, demand}, false},
		"a field is absent": {"heard locality=a endpoint=x total=9\r\n" + use, []controller.Input{demand}, false},
		"doubled":           {"usage node=3 node=4 route=read total=4 errors=1 interval=500\r\n" + use, []controller.Input{demand}, false},
		"not a number":      {strings.Replace(text, "4.5", "NaN", 1) + strings.Replace(text, "0.5", "inf", 1) + use, []controller.Input{demand}, false},
		"out of range":      {strings.Replace(text, "total=9", "total=99999999999999999999", 1) + strings.Replace(text, "errors=2", "errors=-1", 1) + use, []controller.Input{demand}, false},
		"more fail than are": {strings.Replace(text, "errors=2", "errors=10", 1) + strings.Replace(text, "interval=1000.0", "interval=0", 1) + use,
			[]controller.Input{demand}, false},
		"spoilt for long":       {strings.Repeat("usage node=x\r\n", 50) + use, []controller.Input{demand}, false},
		"a long line":           {"heard " + strings.Repeat("y", 100000) + "\r\n" + use, []controller.Input{demand}, false},
		"one unreadable":        {"\x00\x01\x02\r\n" + use, []controller.Input{demand}, false},
		"goes on unreadable":    {use + strings.Repeat("\x07\x08\x09\n", 10), []controller.Input{demand}, true},
		"unreadable, no end":    {use + strings.Repeat("\x07", 3<<20), []controller.Input{demand}, true},
		"asks for sign of life": {"ping\r\n" + use, []controller.Input{demand}, false},
	} {
		for _, piece := range []int{7, 1 << 20} {
			t.Run(fmt.Sprint(name, " by ", piece), func(t *testing.T) {
				if piece < 100 && len(c.send) > 10000 {
					t.Skip("too long for small pieces")
				}
				_, b, dial := open(t, 10)
				conn := dial()
				all := "collector locality=a\r\n" + c.send
				for len(all) > 0 {
					n := min(piece, len(all))
					if _, err := io.WriteString(conn, all[:n]); err != nil {
						break // closed before all was written
					}
					all = all[n:]
				}
				require.Eventually(t, func() bool { return len(b.all()) == len(c.want) }, 5*time.Second, time.Millisecond)
				assert.Equal(t, c.want, b.all())
				if c.closed {
					require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
					_, err := conn.Read(make([]byte, 1))
					assert.Error(t, err)
					assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "still open")
				}
			})
		}
	}
}

// TestCollectorsAmongHundreds guards that strangers that say nothing take no more than their part of the descriptors,
// and that a collector joins all the same.
func TestCollectorsAmongHundreds(t *testing.T) {
	d, b, dial := open(t, 20)
	for range 300 {
		dial()
	}
	conn := dial()
	_, err := io.WriteString(conn, "collector locality=b\r\nusage node=3 route=read total=4 errors=1 interval=500\r\n")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.all()) == 1 }, 5*time.Second, time.Millisecond)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.LessOrEqual(t, d.waiting.Len(), 20)
	assert.GreaterOrEqual(t, d.Counters.Evicted.Load(), int64(250))
}

// TestFloodWhileACollectorJoins guards a collector whose line has come and is not read yet while strangers take all the
// places: one of them goes in its stead. Where all have said something the oldest goes.
func TestFloodWhileACollectorJoins(t *testing.T) {
	for name, c := range map[string]struct {
		says []string // in the order of their coming, three places
		gone int
	}{
		"nobody says anything":   {[]string{"", "", "", ""}, 0},
		"a collector came first": {[]string{"collector locality=a\r\n", "", "", ""}, 1},
		"half a line":            {[]string{"coll", "ping\r\n", "", ""}, 2},
		"all say something":      {[]string{"x", "x", "x", "x"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			d := New([]string{"a"}, 3, &inbox{}, zap.NewNop())
			var peers []net.Conn
			for _, text := range c.says {
				peer, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer peer.Close()
				_, err = io.WriteString(peer, text)
				require.NoError(t, err)
				conn, err := l.Accept()
				require.NoError(t, err)
				defer conn.Close()
				require.Eventually(t, func() bool { return text == "" || connstate.At(conn) == connstate.Data }, 5*time.Second, time.Millisecond)
				d.enter(conn)
				peers = append(peers, peer)
			}
			require.Eventually(t, func() bool { return connstate.At(peers[c.gone]) == connstate.Gone }, 5*time.Second, time.Millisecond)
			for i, peer := range peers {
				assert.Equal(t, i == c.gone, connstate.At(peer) == connstate.Gone, "number %d", i)
			}
		})
	}
}

// TestCollectorComesBack guards the descriptors of collectors that are cut off without a sign and come back.
func TestCollectorComesBack(t *testing.T) {
	d, _, dial := open(t, 20)
	var conns []net.Conn
	for i := range 5 {
		conns = append(conns, dial())
		_, err := io.WriteString(conns[i], "collector locality=b\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return d.Counters.Collectors.Load() == int64(i+1) }, 5*time.Second, time.Millisecond)
	}
	require.NoError(t, conns[0].SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := conns[0].Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.Len(t, d.joined["b"], collectorsEach)
}

// TestTheOlderCollectorClosesLast guards a zone whose collector dials anew before its old connection ends, and ends that one
// after the new one has joined: what the new one brings counts. A stranger that resets while it is refused harms nobody.
func TestTheOlderCollectorClosesLast(t *testing.T) {
	d, b, dial := open(t, 20)
	use := "usage node=3 route=read total=4 errors=1 interval=500\r\n"
	join := func(n int64) net.Conn {
		conn := dial()
		_, err := io.WriteString(conn, "collector locality=a\r\n")
		require.NoError(t, err)
		require.Eventually(t, func() bool { return d.Counters.Collectors.Load() == n }, 5*time.Second, time.Millisecond)
		return conn
	}
	older, newer := join(1), join(2)
	_, err := io.WriteString(older, use+"usage node=3 route=re") // its last line is half
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.all()) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, older.Close())
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.joined["a"]) == 1
	}, 5*time.Second, time.Millisecond)
	rude, ok := dial().(*net.TCPConn)
	require.True(t, ok)
	_, err = io.WriteString(rude, strings.Repeat("x", 1000))
	require.NoError(t, err)
	require.NoError(t, rude.SetLinger(0))
	require.NoError(t, rude.Close())
	_, err = io.WriteString(newer, use)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(b.all()) == 2 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, b.all()[0], b.all()[1], "half a line is nothing")
}

func FuzzReport(f *testing.F) {
	f.Add("heard locality=a endpoint=x total=9 errors=2 rtt=4.5 interval=1000.0 metrics=util:0.5")
	f.Add("usage node=3 route=read total=4 errors=1 interval=500")
	f.Fuzz(func(t *testing.T, line string) {
		var w words
		in, readable := report(&w, []byte(line))
		if in != nil {
			assert.True(t, readable)
		}
		switch in := in.(type) {
		case controller.ZoneStats:
			assert.True(t, in.Failed >= 0 && in.Failed <= in.Attempts && in.SpanMs > 0 && in.MeanMs >= 0 && in.Zone != "" && in.Endpoint != "")
		case controller.ProxyStats:
			assert.True(t, in.Unanswered >= 0 && in.Unanswered <= in.Requests && in.Proxy >= 0 && in.Class != "")
		}
	})
}
