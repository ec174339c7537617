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

// TestHostilePorts brings all that is malformed, cut off, too long, slow or meant to harm to every port of a controller
// that runs, and to its endpoint list and health checks, while a good proxy follows: that one keeps its stream and gets
// valid weights, drains still reach it, and nothing of the others stays.
func TestHostilePorts(t *testing.T) {
	source := newListServer(t)
	endpoint := startHostileEndpoint(t)
	entries := []wire.Entry{
		listEntry("x:1"),
		listEntry("y:1"),
		listEntry("z:1"),
		listEntry(endpoint),
	}
	source.answers <- framesOf(t, &wire.List{Version: 1, Now: 1e6, Whole: true, Entries: entries})
	var gossip net.PacketConn
	capture := func(c net.PacketConn) net.PacketConn {
		gossip = c
		return c
	}
	d, err := New(hostileConfig(t, source.listener.Addr()), Options{Packet: capture})
	require.NoError(t, err)
	stop, ended := run(t, d)
	ctx, cancel := context.WithCancel(t.Context())
	good := &goodProxy{}
	followed := make(chan struct{})
	go func() {
		good.follow(ctx, d.Address(), proxy.Framed(nil))
		close(followed)
	}()
	isBind := func(op wire.Op) bool { return op.Kind == wire.OpAssignTable }
	require.Eventually(t, good.got(isBind), 10*time.Second, 5*time.Millisecond)
	before := runtime.NumGoroutine()

	random := rand.New(rand.NewPCG(5, 6))
	payloads := hostilePayloads(t, random)
	for _, address := range []string{d.Address(), d.GRPCAddress(), d.AdminAddress()} {
		attackPort(t, address, payloads)
		attackSlowly(t, address)
	}
	attackGossip(t, gossip.LocalAddr().String(), random)
	attackList(t, source)
	entries[2].Phase = wire.PhaseDraining
	source.answers <- framesOf(t, &wire.List{Version: 2, Now: 2e6, Whole: true, Entries: entries})

	isDrained := func(op wire.Op) bool {
		isExcluded := op.Kind == wire.OpSetExcluded && op.Remove
		isRemoved := op.Kind == wire.OpSetWeight && op.Weight == 0
		return op.Endpoint == "z:1" && (isExcluded || isRemoved)
	}
	require.Eventually(t, good.got(isDrained), 30*time.Second, 5*time.Millisecond, "a drain still reaches the proxy")
	onlyGoodStays := func() bool { return d.State().Proxies == 1 && runtime.NumGoroutine() <= before+8 }
	assert.Eventually(t, onlyGoodStays, 10*time.Second, 20*time.Millisecond,
		"%d goroutines before, %d after, %d proxies", before, runtime.NumGoroutine(), d.State().Proxies)
	good.assertValid(t)
	cancel()
	stop()
	assert.NoError(t, <-ended)
	<-followed
}

// hostileConfig returns a configuration with every port open and short deadlines.
func hostileConfig(t *testing.T, list net.Addr) *config.Pilot {
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
`, list, secret)
	p, err := config.Parse("p.hcl", []byte(text))
	require.NoError(t, err)
	return p
}

func listEntry(name string) wire.Entry {
	return wire.Entry{Endpoint: name, Zone: "a", Machine: "std", Weight: 1, Phase: wire.PhaseReady}
}

// framesOf encodes messages as one stream.
func framesOf(t *testing.T, messages ...wire.Message) []byte {
	var b bytes.Buffer
	w := wire.NewWriter(&b)
	for _, m := range messages {
		_, err := w.Write(m)
		require.NoError(t, err)
	}
	return b.Bytes()
}

// plausibleHello opens the streams of strangers that get past the hello.
var plausibleHello = &wire.Hello{Version: 1, Proxy: "bad", Zone: "a", Rate: 3, Holds: []string{"x:1"}}

// hostilePayloads returns what a stranger may send to any port: a stream cut off everywhere, with a byte changed, out
// of order, too long, and of other protocols.
func hostilePayloads(t *testing.T, random *rand.Rand) [][]byte {
	hello := *plausibleHello
	hello.Rate = 1e308
	whole := framesOf(t, plausibleHello, hostileReport())
	var payloads [][]byte
	for n := 0; n < len(whole); n += 3 {
		payloads = append(payloads, whole[:n])
	}
	for range 40 {
		b := bytes.Clone(whole)
		b[random.IntN(len(b))] ^= byte(1 + random.IntN(255))
		payloads = append(payloads, b)
	}
	const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	return append(payloads,
		framesOf(t, &hello),
		framesOf(t, plausibleHello, plausibleHello),
		framesOf(t, plausibleHello, &wire.Commands{}),
		framesOf(t, &wire.Done{Mark: 1}),
		bytes.Repeat([]byte{0}, 1<<20),
		bytes.Repeat([]byte{0xff}, 1<<20),
		[]byte(http2Preface),
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		append([]byte(http2Preface), bytes.Repeat([]byte{0xff}, 1<<16)...),
		[]byte{0x16, 3, 1, 0xff, 0xff}, // the head of a TLS record
	)
}

// hostileReport has figures at the limits of their types, and an endpoint that nobody listed.
func hostileReport() *wire.LoadReport {
	load := []wire.LoadMetric{{Name: "util", Value: 1e308}}
	return &wire.LoadReport{
		Seq:    math.MaxUint64,
		AtMs:   1e308,
		SpanMs: 1e308,
		EndpointStats: []wire.EndpointStats{
			{Endpoint: "x:1", Attempts: math.MaxInt32, Failed: math.MaxInt32, MeanMs: 1e308, Load: load},
			{Endpoint: "never:1", Attempts: 5},
		},
		RequestStats: []wire.RequestStats{{Class: "none", Requests: 5, Unanswered: 9}},
	}
}

// attackPort sends each payload on a connection of its own.
func attackPort(t *testing.T, address string, payloads [][]byte) {
	for i, payload := range payloads {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(200*time.Millisecond)))
		_, _ = conn.Write(payload) // it may be refused before the end
		if i%8 == 0 {
			_, _ = io.CopyN(io.Discard, conn, 1<<12) // whatever comes
		}
		mustClose(t, conn)
	}
}

// attackSlowly sends the start of a stream byte by byte, and never reads.
func attackSlowly(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	whole := framesOf(t, plausibleHello, hostileReport())
	for i := range 10 {
		_, _ = conn.Write(whole[i : i+1]) // it may be refused before the end
		time.Sleep(20 * time.Millisecond)
	}
	mustClose(t, conn)
}

// attackGossip sends packets of random bytes, some with a head that looks right.
func attackGossip(t *testing.T, address string, random *rand.Rand) {
	conn, err := net.Dial("udp", address)
	require.NoError(t, err)
	for n := range 200 {
		packet := make([]byte, random.IntN(2000))
		for i := range packet {
			packet[i] = byte(random.Uint32())
		}
		if n%4 == 0 && len(packet) > 8 {
			copy(packet, "inu\x01\x00\x01")
		}
		_, _ = conn.Write(packet) // a full socket drops it
	}
	mustClose(t, conn)
}

// attackList answers the next connections of the endpoint list with entries at the limits of their types, messages that
// are none of a list, and noise.
func attackList(t *testing.T, source *listServer) {
	var messages []wire.Message
	for _, change := range []func(e *wire.Entry){
		func(e *wire.Entry) { e.Weight = 1e308 },
		func(e *wire.Entry) { e.Weight = 5e-324 },
		func(e *wire.Entry) { e.Zone = "nowhere" },
		func(e *wire.Entry) { e.Started = math.MaxUint64 },
		func(e *wire.Entry) { e.Machine = strings.Repeat("m", 255) },
	} {
		e := listEntry("x:1")
		change(&e)
		messages = append(messages,
			&wire.List{Version: math.MaxInt32, Now: 1, Entries: []wire.Entry{e, e}},
			&wire.Slices{Slice: 0, Given: true},
			&wire.Slices{Slice: wire.AllTables, Given: true},
		)
	}
	noList := &wire.Hello{Version: 1, Proxy: "p", Zone: "a"} // ends a connection
	source.answers <- framesOf(t, append(messages, noList)...)
	for _, noise := range [][]byte{[]byte("no list"), bytes.Repeat([]byte{0xff}, 64)} {
		source.answers <- append(noise, framesOf(t, noList)...)
	}
}

// listServer is a server of the endpoint list that can say anything, one connection after another.
type listServer struct {
	listener net.Listener
	answers  chan []byte // what each next connection brings
}

// newListServer starts a server; it ends with the test.
func newListServer(t *testing.T) *listServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &listServer{listener: l, answers: make(chan []byte, 64)}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.answer(conn)
		}
	})
	t.Cleanup(func() {
		mustClose(t, l)
		serving.Wait()
	})
	return s
}

// answer brings the next answer and waits until the controller has had enough.
func (s *listServer) answer(conn net.Conn) {
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // until the controller closes it
		close(gone)
	}()
	select {
	case answer := <-s.answers:
		_, _ = conn.Write(answer) // it may be refused before the end
		<-gone
	case <-gone:
	}
	_ = conn.Close() // the other side has closed it
}

// startHostileEndpoint starts an endpoint that answers health checks with anything, and returns its address.
func startHostileEndpoint(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	load := []wire.LoadMetric{{Name: "util", Value: 1e308}, {Name: "waiting", Value: 1e308}}
	answers := [][]byte{
		nil,
		[]byte("HTTP/1.1 200 OK\r\n\r\n"),
		{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 1},
		framesOf(t, &wire.Heartbeat{}),
		framesOf(t, &wire.Response{Number: 1, Outcome: wire.Succeeded, Load: load}),
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(answers[i%len(answers)]) // it may be refused
			_ = conn.Close()                           // whatever was lost
		}
	})
	t.Cleanup(func() {
		mustClose(t, l)
		serving.Wait()
	})
	return l.Addr().String()
}
