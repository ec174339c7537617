package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/config"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// framesOf lays messages out as one stream.
func framesOf(t *testing.T, messages ...wire.Message) []byte {
	var b bytes.Buffer
	w := wire.NewWriter(&b)
	for _, m := range messages {
		_, err := w.Write(m)
		require.NoError(t, err)
	}
	return b.Bytes()
}

// source is a list that one can say anything on, one connection after another.
type source struct {
	l    net.Listener
	says chan []byte // what the next connection brings
	wg   sync.WaitGroup
}

func newSource(t *testing.T) *source {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &source{l: l, says: make(chan []byte, 64)}
	s.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			gone := make(chan bool)
			go func() { _, _ = io.Copy(io.Discard, c); close(gone) }() // until the pilot has had enough
			select {
			case b := <-s.says:
				_, _ = c.Write(b)
				<-gone
			case <-gone:
			}
			c.Close()
		}
	})
	t.Cleanup(func() { l.Close(); s.wg.Wait() })
	return s
}

// good follows a pilot well, and keeps what crosses to it.
type good struct {
	mu   sync.Mutex
	ops  []wire.Op
	left error
}

func (g *good) follow(ctx context.Context, at string, join proxy.Joiner) {
	l, _, err := join(ctx, (&net.Dialer{}).DialContext, at, &wire.Hello{Version: 1, Proxy: "good", Zone: "a", Rate: 5, Fresh: true})
	for err == nil {
		var m wire.Message
		if m, err = l.Read(5 * time.Second); err != nil {
			break
		}
		if o, ok := m.(*wire.Orders); ok {
			g.mu.Lock()
			g.ops = append(g.ops, o.Ops...)
			g.mu.Unlock()
			for _, op := range o.Ops {
				if op.Kind == wire.OpMark {
					_ = l.Write(&wire.Done{Mark: op.Number}, time.Second)
				}
			}
		}
		err = l.Write(&wire.Beat{Seen: l.Last()}, time.Second)
	}
	if l != nil {
		defer l.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left = err; ctx.Err() != nil {
		g.left = nil
	}
}

// told returns whether an op came.
func (g *good) told(is func(wire.Op) bool) func() bool {
	return func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, op := range g.ops {
			if is(op) {
				return true
			}
		}
		return false
	}
}

// TestHostilePorts brings all that is malformed, cut off, too long, slow or meant to harm to every port of a pilot that runs,
// and to its list and probes, while a good proxy follows: that one keeps its stream and gets sound weights, drains still
// reach it, and nothing of the others stays.
func TestHostilePorts(t *testing.T) {
	src := newSource(t)
	entry := func(name string, phase int) wire.Entry {
		return wire.Entry{Endpoint: name, Zone: "a", Machine: "std", Weight: 1, Phase: phase}
	}
	probed, err := net.Listen("tcp", "127.0.0.1:0") // an endpoint that answers probes with anything
	require.NoError(t, err)
	var probes sync.WaitGroup
	answers := [][]byte{nil, []byte("HTTP/1.1 200 OK\r\n\r\n"), {0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 1}, framesOf(t, &wire.Beat{}),
		framesOf(t, &wire.Answer{Number: 1, Outcome: wire.Fine, Load: []wire.Figure{{Name: "util", Value: 1e308}, {Name: "waiting", Value: 1e308}}})}
	probes.Go(func() {
		for i := 0; ; i++ {
			c, err := probed.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write(answers[i%len(answers)])
			_ = c.Close()
		}
	})
	t.Cleanup(func() { probed.Close(); probes.Wait() })
	first := []wire.Entry{entry("x:1", 0), entry("y:1", 0), entry("z:1", 0), entry(probed.Addr().String(), 0)}
	src.says <- framesOf(t, &wire.List{Version: 1, Now: 1e6, Whole: true, Entries: first})

	secret := filepath.Join(t.TempDir(), "secret")
	require.NoError(t, os.WriteFile(secret, []byte(strings.Repeat("ab", 32)), 0o600))
	text := fmt.Sprintf(`zones = ["a"]
machines = ["std"]
req_kind "read" {}
pilot {
  listen = "127.0.0.1:0"
  grpc   = "127.0.0.1:0"
  admin  = "127.0.0.1:0"
  instances = 2
}
streams {
  beat           = "300ms"
  stop_within    = "500ms"
  hello_deadline = "300ms"
  max_streams    = 24
}
reports { probing = true }
list {
  address = %q
  silence = "1s"
}
peers {
  listen    = "127.0.0.1:0"
  addresses = { "1" = "127.0.0.1:9" }
  secret    = %q
}
keys { plain = true }
`, src.l.Addr(), secret)
	p, err := config.Parse("p.hcl", []byte(text))
	require.NoError(t, err)
	var notes net.PacketConn
	d, err := New(p, Options{Packet: func(c net.PacketConn) net.PacketConn { notes = c; return c }})
	require.NoError(t, err)
	stop, ended := run(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	g, followed := &good{}, make(chan bool)
	go func() { g.follow(ctx, d.Address(), proxy.Framed(nil)); close(followed) }()
	require.Eventually(t, g.told(func(op wire.Op) bool { return op.Kind == wire.OpBind }), 10*time.Second, 5*time.Millisecond)
	before := runtime.NumGoroutine()

	hello := &wire.Hello{Version: 1, Proxy: "bad", Zone: "a", Rate: 1e308, Holds: []string{"x:1"}}
	sums := &wire.Sums{Seq: math.MaxUint64, AtMs: 1e308, SpanMs: 1e308, Met: []wire.Met{{Endpoint: "x:1", Tries: math.MaxInt32, Failed: math.MaxInt32,
		MeanMs: 1e308, Load: []wire.Figure{{Name: "util", Value: 1e308}}}, {Endpoint: "never:1", Tries: 5}}, Demand: []wire.Demand{{Kind: "none", Reqs: 5, Unanswered: 9}}}
	sober := *hello
	sober.Rate = 3
	whole := framesOf(t, &sober, sums)
	rnd := rand.New(rand.NewPCG(5, 6))
	var payloads [][]byte
	for n := 0; n < len(whole); n += 3 {
		payloads = append(payloads, whole[:n])
	}
	for range 40 { // a byte turned anywhere
		b := bytes.Clone(whole)
		b[rnd.IntN(len(b))] ^= byte(1 + rnd.IntN(255))
		payloads = append(payloads, b)
	}
	payloads = append(payloads, framesOf(t, hello), framesOf(t, &sober, &sober), framesOf(t, &sober, &wire.Orders{}), framesOf(t, &wire.Done{Mark: 1}),
		bytes.Repeat([]byte{0}, 1<<20), bytes.Repeat([]byte{0xff}, 1<<20), []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), []byte("GET / HTTP/1.1\r\n\r\n"),
		append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), bytes.Repeat([]byte{0xff}, 1<<16)...), []byte{0x16, 3, 1, 0xff, 0xff})
	for _, at := range []string{d.Address(), d.GRPCAddress(), d.AdminAddress()} {
		for i, b := range payloads {
			c, err := net.Dial("tcp", at)
			require.NoError(t, err)
			_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
			_, _ = c.Write(b) // it may be refused before the end
			if i%8 == 0 {
				_, _ = io.CopyN(io.Discard, c, 1<<12)
			}
			c.Close()
		}
		slow, err := net.Dial("tcp", at) // a byte at a time, never reading
		require.NoError(t, err)
		for i := range 10 {
			_, _ = slow.Write(whole[i : i+1])
			time.Sleep(20 * time.Millisecond)
		}
		slow.Close()
	}
	to, err := net.Dial("udp", notes.LocalAddr().String())
	require.NoError(t, err)
	for n := range 200 {
		b := make([]byte, rnd.IntN(2000))
		for i := range b {
			b[i] = byte(rnd.Uint32())
		}
		if n%4 == 0 && len(b) > 8 {
			copy(b, "inu\x01\x00\x01")
		}
		_, _ = to.Write(b)
	}
	to.Close()
	var lists []wire.Message
	for _, change := range []func(e *wire.Entry){func(e *wire.Entry) { e.Weight = 1e308 }, func(e *wire.Entry) { e.Weight = 5e-324 },
		func(e *wire.Entry) { e.Zone = "nowhere" }, func(e *wire.Entry) { e.Started = math.MaxUint64 }, func(e *wire.Entry) { e.Machine = strings.Repeat("m", 255) }} {
		e := entry("x:1", 0)
		change(&e)
		lists = append(lists, &wire.List{Version: math.MaxInt32, Now: 1, Entries: []wire.Entry{e, e}}, &wire.Slices{Slice: 0, Given: true},
			&wire.Slices{Slice: wire.EveryTable, Given: true})
	}
	src.says <- framesOf(t, append(lists, &wire.Hello{Version: 1, Proxy: "p", Zone: "a"})...) // what is none of a list ends it
	for _, b := range [][]byte{[]byte("no list"), bytes.Repeat([]byte{0xff}, 64)} {
		src.says <- append(b, framesOf(t, &wire.Hello{Version: 1, Proxy: "p", Zone: "a"})...)
	}
	first[2].Phase = wire.PhaseDraining
	src.says <- framesOf(t, &wire.List{Version: 2, Now: 2e6, Whole: true, Entries: first})

	require.Eventually(t, g.told(func(op wire.Op) bool {
		return op.Endpoint == "z:1" && (op.Kind == wire.OpWithdraw && op.Out || op.Kind == wire.OpSet && op.Weight == 0)
	}), 30*time.Second, 5*time.Millisecond, "a drain still reaches the proxy")
	assert.Eventually(t, func() bool { return d.State().Proxies == 1 && runtime.NumGoroutine() <= before+8 }, 10*time.Second, 20*time.Millisecond,
		"%d goroutines before, %d after, %d proxies", before, runtime.NumGoroutine(), d.State().Proxies)
	g.mu.Lock()
	assert.NoError(t, g.left)
	lines := map[string]float64{}
	for _, op := range g.ops {
		require.False(t, op.Weight < 0 || op.Weight > 1 || math.IsNaN(op.Weight), "%+v", op)
		require.NotEqual(t, wire.OpRange, op.Kind)
		if op.Kind == wire.OpSet {
			lines[op.Endpoint] = op.Weight
		}
	}
	g.mu.Unlock()
	assert.Positive(t, lines["x:1"]+lines["y:1"])
	cancel()
	stop()
	assert.NoError(t, <-ended)
	<-followed
}
