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

// TestHostilePorts sends malformed, truncated, oversized, slow and malicious input to every port of a running
// controller, and to its endpoint list and health checks. A conforming proxy is connected meanwhile: its stream must
// stay open, its weights must be valid, and drains must still reach it. Hostile peers must leave no proxies or
// goroutines behind.
func TestHostilePorts(t *testing.T) {
	source := newListServer(t)
	endpoint := startHostileEndpoint(t)
	entries := []wire.Entry{
		listEntry("x:1"),
		listEntry("y:1"),
		listEntry("z:1"),
		listEntry(endpoint),
	}
	source.replies <- encodeFrames(t, &wire.List{Version: 1, Now: 1e6, Whole: true, Entries: entries})
	var gossip net.PacketConn
	capture := func(c net.PacketConn) net.PacketConn {
		gossip = c
		return c
	}
	d, err := New(hostileConfig(t, source.listener.Addr()), Options{WrapPacketConn: capture})
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
	require.Eventually(t, good.received(isBind), 10*time.Second, 5*time.Millisecond)
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
	source.replies <- encodeFrames(t, &wire.List{Version: 2, Now: 2e6, Whole: true, Entries: entries})

	isDrained := func(op wire.Op) bool {
		isExcluded := op.Kind == wire.OpSetExcluded && op.Remove
		isRemoved := op.Kind == wire.OpSetWeight && op.Weight == 0
		return op.Endpoint == "z:1" && (isExcluded || isRemoved)
	}
	require.Eventually(t, good.received(isDrained), 30*time.Second, 5*time.Millisecond, "a drain still reaches the proxy")
	onlyGoodStays := func() bool { return d.State().Proxies == 1 && runtime.NumGoroutine() <= before+8 }
	assert.Eventually(t, onlyGoodStays, 10*time.Second, 20*time.Millisecond,
		"%d goroutines before, %d after, %d proxies", before, runtime.NumGoroutine(), d.State().Proxies)
	good.assertValid(t)
	cancel()
	stop()
	assert.NoError(t, <-ended)
	<-followed
}

// hostileConfig returns a configuration with all listeners enabled and short deadlines. The endpoint list is read from
// the server at list.
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

// listEntry returns an entry of the endpoint list for an endpoint that is ready.
func listEntry(name string) wire.Entry {
	return wire.Entry{Endpoint: name, Zone: "a", Machine: "std", Weight: 1, Phase: wire.PhaseReady}
}

// encodeFrames encodes messages as consecutive frames of one stream.
func encodeFrames(t *testing.T, messages ...wire.Message) []byte {
	var b bytes.Buffer
	w := wire.NewWriter(&b)
	for _, m := range messages {
		_, err := w.Write(m)
		require.NoError(t, err)
	}
	return b.Bytes()
}

// plausibleHello is a valid Hello, with which hostile payloads start if they must be accepted as a stream.
var plausibleHello = &wire.Hello{Version: 1, Proxy: "bad", Zone: "a", Rate: 3, Holds: []string{"x:1"}}

// hostilePayloads returns payloads to send to a port: streams that are truncated at various lengths, have a changed
// byte, contain messages out of order or are too long, and data of other protocols.
func hostilePayloads(t *testing.T, random *rand.Rand) [][]byte {
	hello := *plausibleHello
	hello.Rate = 1e308
	valid := encodeFrames(t, plausibleHello, hostileReport())
	var payloads [][]byte
	for n := 0; n < len(valid); n += 3 {
		payloads = append(payloads, valid[:n])
	}
	for range 40 {
		b := bytes.Clone(valid)
		b[random.IntN(len(b))] ^= byte(1 + random.IntN(255))
		payloads = append(payloads, b)
	}
	const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	return append(payloads,
		encodeFrames(t, &hello),
		encodeFrames(t, plausibleHello, plausibleHello),
		encodeFrames(t, plausibleHello, &wire.Commands{}),
		encodeFrames(t, &wire.Done{Mark: 1}),
		bytes.Repeat([]byte{0}, 1<<20),
		bytes.Repeat([]byte{0xff}, 1<<20),
		[]byte(http2Preface),
		[]byte("GET / HTTP/1.1\r\n\r\n"),
		append([]byte(http2Preface), bytes.Repeat([]byte{0xff}, 1<<16)...),
		[]byte{0x16, 3, 1, 0xff, 0xff}, // the header of a TLS record
	)
}

// hostileReport returns a load report with values at the limits of their types, and with an endpoint and a request
// class that are unknown.
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

// attackPort sends each payload on a separate connection.
func attackPort(t *testing.T, address string, payloads [][]byte) {
	for i, payload := range payloads {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(200*time.Millisecond)))
		_, _ = conn.Write(payload) // fails if the controller closes the connection early
		if i%8 == 0 {
			_, _ = io.CopyN(io.Discard, conn, 1<<12) // read some of the reply, if any
		}
		mustClose(t, conn)
	}
}

// attackSlowly sends the start of a stream byte by byte, without reading the replies.
func attackSlowly(t *testing.T, address string) {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	valid := encodeFrames(t, plausibleHello, hostileReport())
	for i := range 10 {
		_, _ = conn.Write(valid[i : i+1]) // fails if the controller closes the connection early
		time.Sleep(20 * time.Millisecond)
	}
	mustClose(t, conn)
}

// attackGossip sends packets of random bytes, some of them with a valid header.
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
		_, _ = conn.Write(packet) // a send error is as good as a lost packet
	}
	mustClose(t, conn)
}

// attackList queues replies for the next connections to the endpoint list server: entries with values at the limits
// of their types, messages that don't belong to an endpoint list, and random bytes.
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
	unexpectedHello := &wire.Hello{Version: 1, Proxy: "p", Zone: "a"} // makes the controller close the connection
	source.replies <- encodeFrames(t, append(messages, unexpectedHello)...)
	for _, noise := range [][]byte{[]byte("no list"), bytes.Repeat([]byte{0xff}, 64)} {
		source.replies <- append(noise, encodeFrames(t, unexpectedHello)...)
	}
}

// listServer is an endpoint list server that sends arbitrary replies. It serves one connection at a time.
type listServer struct {
	listener net.Listener
	replies  chan []byte // the reply for each of the next connections
}

// newListServer starts a server that is stopped at the end of the test.
func newListServer(t *testing.T) *listServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &listServer{listener: l, replies: make(chan []byte, 64)}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.reply(conn)
		}
	})
	t.Cleanup(func() {
		mustClose(t, l)
		serving.Wait()
	})
	return s
}

// reply sends the next reply and waits until the controller closes the connection.
func (s *listServer) reply(conn net.Conn) {
	gone := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // returns when the controller closes the connection
		close(gone)
	}()
	select {
	case reply := <-s.replies:
		_, _ = conn.Write(reply) // fails if the controller closes the connection early
		<-gone
	case <-gone:
	}
	_ = conn.Close() // the controller has already closed its side
}

// startHostileEndpoint starts an endpoint that responds to health checks with valid and invalid data in turn, and
// returns its address.
func startHostileEndpoint(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	load := []wire.LoadMetric{{Name: "util", Value: 1e308}, {Name: "waiting", Value: 1e308}}
	answers := [][]byte{
		nil,
		[]byte("HTTP/1.1 200 OK\r\n\r\n"),
		{0xff, 0xff, 0xff, 0xff, 1, 0, 0, 0, 1},
		encodeFrames(t, &wire.Heartbeat{}),
		encodeFrames(t, &wire.Response{Number: 1, Outcome: wire.Succeeded, Load: load}),
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for i := 0; ; i++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write(answers[i%len(answers)]) // fails if the controller closes the connection early
			_ = conn.Close()                           // data that was not sent yet does not matter
		}
	})
	t.Cleanup(func() {
		mustClose(t, l)
		serving.Wait()
	})
	return l.Addr().String()
}
