package grpcapi

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
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

// waitForStreams waits until at least n proxies have joined and returns the streams of all that have.
func (i *inbox) waitForStreams(t *testing.T, n int) (list []controller.Stream) {
	require.Eventually(t, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		list = nil
		for _, in := range i.got {
			if j, ok := in.(controller.ProxyJoined); ok {
				list = append(list, j.Stream)
			}
		}
		return len(list) >= n
	}, 20*time.Second, time.Millisecond)
	return list
}

// client is the proxy's end of one stream.
type client struct {
	t      *testing.T
	stream grpc.BidiStreamingClient[pb.Upward, pb.Downward]
	cancel context.CancelFunc
}

// plainText is the dial option for connections without TLS.
var plainText = grpc.WithTransportCredentials(insecure.NewCredentials())

// serve starts a server and returns it with its inbox and a connection to it. change may modify the configuration
// unless it is nil.
func serve(t *testing.T, change func(*ListenerConfig)) (*Server, *inbox, *grpc.ClientConn) {
	config := ListenerConfig{
		Pilot: "one", HeartbeatInterval: 100 * time.Millisecond, ReportInterval: time.Second, AckTimeout: 5 * time.Second,
		HelloTimeout: time.Second, MaxMessageBytes: 1 << 16, MaxStreams: 5000, MaxQueuedOps: 50,
	}
	if change != nil {
		change(&config)
	}
	in := &inbox{}
	s := New(config, in, zap.NewNop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), plainText)
	require.NoError(t, err)
	t.Cleanup(func() {
		assert.NoError(t, conn.Close())
		cancel()
		assert.NoError(t, <-done)
	})
	return s, in, conn
}

// openStream opens a stream without sending a Hello.
func openStream(t *testing.T, conn *grpc.ClientConn, options ...grpc.CallOption) *client {
	ctx, cancel := context.WithCancel(t.Context())
	g, err := pb.NewControlClient(conn).Follow(ctx, options...)
	require.NoError(t, err)
	t.Cleanup(cancel)
	return &client{t, g, cancel}
}

// send sends a message. It ignores errors, since the server may have closed the stream.
func (c *client) send(m *pb.Upward) { _ = c.stream.Send(m) }

// join sends a Hello and waits for the Welcome.
func (c *client) join(h *pb.Hello) {
	c.send(&pb.Upward{Says: &pb.Upward_Hello{Hello: h}})
	m, err := c.stream.Recv()
	require.NoError(c.t, err)
	require.NotNil(c.t, m.GetWelcome())
}

// acknowledge acknowledges a version, or refuses it if refusal is not empty.
func (c *client) acknowledge(version uint64, refusal string) {
	c.send(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Version: version, Refusal: refusal}}})
}

// nextAssignment waits for the next assignment. It answers every other message with a heartbeat.
func (c *client) nextAssignment() *pb.Assignment {
	for {
		m, err := c.stream.Recv()
		require.NoError(c.t, err)
		if a := m.GetAssignment(); a != nil {
			return a
		}
		c.send(&pb.Upward{Says: &pb.Upward_Beat{Beat: &pb.Beat{}}})
	}
}

// waitForEnd reads until the stream ends and returns the error with which it ended.
func (c *client) waitForEnd() error {
	for {
		if _, err := c.stream.Recv(); err != nil {
			return err
		}
	}
}

// newHello returns a valid Hello of a proxy.
func newHello(name string) *pb.Hello { return &pb.Hello{Version: 1, Proxy: name, Zone: "a"} }

// setWeight returns an operation that sets the weight of an endpoint in table 1.
func setWeight(e string, w float64) wire.Op {
	return wire.Op{Kind: wire.OpSetWeight, Table: 1, Endpoint: e, Weight: w}
}

// assignTable assigns table 1 to the first two request classes.
var assignTable = wire.Op{Kind: wire.OpAssignTable, Table: 1, Classes: 3}

// TestMisbehavingClient checks the final status of a stream after an invalid message or the silence of the client.
func TestMisbehavingClient(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(c *client)
		want codes.Code
	}{
		{"a version that was never sent", func(c *client) { c.acknowledge(7, "") }, codes.InvalidArgument},
		{"a refusal", func(c *client) { c.acknowledge(1, "table 1 is unknown to me") }, codes.Aborted},
		{"a refusal after an acknowledgement", func(c *client) { c.acknowledge(1, ""); c.acknowledge(1, "no") }, codes.Aborted},
		{"a repeated acknowledgement", func(c *client) { c.acknowledge(1, ""); c.acknowledge(1, "") }, codes.InvalidArgument},
		{"a second hello", func(c *client) {
			c.send(&pb.Upward{Says: &pb.Upward_Hello{Hello: newHello("q")}})
		}, codes.InvalidArgument},
		{"a negative number", func(c *client) {
			c.send(&pb.Upward{Says: &pb.Upward_Report{Report: &pb.Report{SpanMs: -1}}})
		}, codes.InvalidArgument},
		{"more failures than attempts", func(c *client) {
			c.send(&pb.Upward{Says: &pb.Upward_Report{Report: &pb.Report{Endpoints: []*pb.EndpointLoad{{Tries: 1, Failed: 2}}}}})
		}, codes.InvalidArgument},
		{"a message beyond the limit", func(c *client) {
			c.send(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Refusal: strings.Repeat("x", 1<<17)}}})
		}, codes.ResourceExhausted},
		{"silence", func(*client) {}, codes.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, in, conn := serve(t, nil)
			cl := openStream(t, conn)
			cl.join(newHello("p"))
			require.NoError(t, in.waitForStreams(t, 1)[0].Send(&wire.Commands{Ops: []wire.Op{assignTable, setWeight("x", 1)}}))
			cl.nextAssignment()
			c.do(cl)
			assert.Equal(t, c.want, status.Code(cl.waitForEnd()))
		})
	}
}

// TestCompressedBomb checks that a small message that decompresses to far more than the size limit is rejected. The
// heartbeat interval is long, because on a busy machine compressing the message takes longer than the three default
// intervals after which the stream would be closed for silence.
func TestCompressedBomb(t *testing.T) {
	_, in, conn := serve(t, func(config *ListenerConfig) { config.HeartbeatInterval, config.AckTimeout = time.Minute, time.Minute })
	cl := openStream(t, conn, grpc.UseCompressor(gzip.Name))
	cl.join(newHello("p"))
	in.waitForStreams(t, 1)
	cl.send(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Refusal: strings.Repeat("x", 50<<20)}}})
	assert.Equal(t, codes.ResourceExhausted, status.Code(cl.waitForEnd()))
}

// TestHellos checks the status for valid and invalid first messages.
func TestHellos(t *testing.T) {
	withUnknownField := &pb.Hello{Version: 1, Proxy: "p", Zone: "a"}
	withUnknownField.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 5))
	for _, c := range []struct {
		name  string
		first *pb.Upward
		want  codes.Code
	}{
		{"fields of a later version", &pb.Upward{Says: &pb.Upward_Hello{Hello: withUnknownField}}, codes.OK},
		{"another version", &pb.Upward{Says: &pb.Upward_Hello{
			Hello: &pb.Hello{Version: 3, Proxy: "p", Zone: "a"},
		}}, codes.FailedPrecondition},
		{"no name", &pb.Upward{Says: &pb.Upward_Hello{Hello: &pb.Hello{Version: 1, Zone: "a"}}}, codes.InvalidArgument},
		{"a report first", &pb.Upward{Says: &pb.Upward_Report{Report: &pb.Report{}}}, codes.InvalidArgument},
		{"nothing", nil, codes.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, conn := serve(t, nil)
			cl := openStream(t, conn)
			if c.first != nil {
				cl.send(c.first)
			}
			m, err := cl.stream.Recv()
			assert.Equal(t, c.want, status.Code(err))
			if err == nil {
				assert.NotNil(t, m.GetWelcome())
			}
		})
	}
}

// TestReconnectStorm checks that many streams opened at once are accepted at the limited rate and that none is
// rejected.
func TestReconnectStorm(t *testing.T) {
	const streamCount = 2000
	s, in, conn := serve(t, func(config *ListenerConfig) {
		config.MaxNewStreamsPerS = 1000
		config.HeartbeatInterval = 5 * time.Second
	})
	var conns []*grpc.ClientConn
	for range streamCount / 50 {
		c, err := grpc.NewClient(conn.Target(), plainText)
		require.NoError(t, err)
		defer func() { assert.NoError(t, c.Close()) }()
		conns = append(conns, c)
	}
	var wg sync.WaitGroup
	for i := range streamCount {
		wg.Go(func() {
			cl := openStream(t, conns[i%len(conns)])
			cl.send(&pb.Upward{Says: &pb.Upward_Hello{Hello: newHello(strings.Repeat("p", 1+i%200) + string(rune('a'+i/200)))}})
			_, err := cl.stream.Recv()
			assert.NoError(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, streamCount, s.Streams())
	assert.EqualValues(t, 1000, s.newStreamLimiter.Limit())
	assert.Equal(t, newStreamBurst, s.newStreamLimiter.Burst())
	assert.Len(t, in.waitForStreams(t, streamCount), streamCount)
}

// TestCollapse checks that the queue of a stream that is not read keeps only the last weight of each endpoint, and that
// Send fails if the queue exceeds its limit nevertheless.
func TestCollapse(t *testing.T) {
	st := newStream(10)
	for i := range 1000 {
		ops := []wire.Op{setWeight("x", float64(i)), setWeight("y", 1), {Kind: wire.OpAckRequest, AckNumber: 1}}
		require.NoError(t, st.Send(&wire.Commands{CostLines: 2, Ops: ops}))
	}
	a := st.takeNext().GetAssignment()
	require.Len(t, a.GetSteps(), 2)
	assert.Equal(t, 999.0, a.GetSteps()[0].GetLine().GetWeight())
	assert.Equal(t, []uint32{1}, a.GetMarks())
	assert.EqualValues(t, 2000, a.GetLines())
	var err error
	for i := range 20 {
		err = st.Send(&wire.Commands{Ops: []wire.Op{setWeight(strings.Repeat("e", i+1), 1)}})
	}
	assert.ErrorIs(t, err, ErrSlow)
}

// FuzzUpward checks that decoding arbitrary messages of proxies does not panic and rejects a Hello without a name and a
// report with a negative span.
func FuzzUpward(f *testing.F) {
	for _, m := range []*pb.Upward{
		{Says: &pb.Upward_Hello{Hello: newHello("p")}},
		{Says: &pb.Upward_Report{Report: &pb.Report{Number: 1, Endpoints: []*pb.EndpointLoad{{
			Endpoint: "x", Tries: 2,
			Figures: map[string]float64{"util": 1},
		}}}}},
	} {
		b, err := proto.Marshal(m)
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m pb.Upward
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		if h := m.GetHello(); h != nil {
			if out, err := decodeHello(h); err == nil {
				assert.NotEmpty(t, out.Proxy)
			}
		}
		if r := m.GetReport(); r != nil {
			if out, err := decodeReport(r); err == nil {
				assert.False(t, out.SpanMs < 0)
			}
		}
	})
}
