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

// inbox records inputs in order.
type inbox struct {
	mu  sync.Mutex
	got []controller.Input
}

func (i *inbox) Post(_ context.Context, in controller.Input) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.got = append(i.got, in)
	return nil
}

// joins waits until n streams have joined and returns them.
func (i *inbox) joins(t *testing.T, n int) (list []controller.Stream) {
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

// client is a proxy's side of one stream.
type client struct {
	t      *testing.T
	stream grpc.BidiStreamingClient[pb.Upward, pb.Downward]
	cancel context.CancelFunc
}

// plainText connects without TLS.
var plainText = grpc.WithTransportCredentials(insecure.NewCredentials())

// serve starts a server and returns a connection to it.
func serve(t *testing.T, change func(*ListenerConfig)) (*Server, *inbox, *grpc.ClientConn) {
	d := ListenerConfig{
		Pilot: "one", Beat: 100 * time.Millisecond, Period: time.Second, SeenWithin: 5 * time.Second,
		HelloIn: time.Second, MaxMessage: 1 << 16, MaxStreams: 5000, QueueLines: 50,
	}
	if change != nil {
		change(&d)
	}
	in := &inbox{}
	s := New(d, in, zap.NewNop())
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

// follow opens a stream.
func follow(t *testing.T, conn *grpc.ClientConn, options ...grpc.CallOption) *client {
	ctx, cancel := context.WithCancel(t.Context())
	g, err := pb.NewControlClient(conn).Follow(ctx, options...)
	require.NoError(t, err)
	t.Cleanup(cancel)
	return &client{t, g, cancel}
}

// say sends a message; the stream may have ended.
func (c *client) say(m *pb.Upward) { _ = c.stream.Send(m) }

// hello says hello and waits for the welcome.
func (c *client) hello(h *pb.Hello) {
	c.say(&pb.Upward{Says: &pb.Upward_Hello{Hello: h}})
	m, err := c.stream.Recv()
	require.NoError(c.t, err)
	require.NotNil(c.t, m.GetWelcome())
}

// ack acknowledges a version, or refuses it with a reason.
func (c *client) ack(version uint64, refusal string) {
	c.say(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Version: version, Refusal: refusal}}})
}

// assignment returns the next assignment; the client sends heartbeats meanwhile.
func (c *client) assignment() *pb.Assignment {
	for {
		m, err := c.stream.Recv()
		require.NoError(c.t, err)
		if a := m.GetAssignment(); a != nil {
			return a
		}
		c.say(&pb.Upward{Says: &pb.Upward_Beat{Beat: &pb.Beat{}}})
	}
}

// end waits for the end of the stream and returns its error.
func (c *client) end() error {
	for {
		if _, err := c.stream.Recv(); err != nil {
			return err
		}
	}
}

func hello(name string) *pb.Hello { return &pb.Hello{Version: 1, Proxy: name, Zone: "a"} }

func set(e string, w float64) wire.Op {
	return wire.Op{Kind: wire.OpSetWeight, Table: 1, Endpoint: e, Weight: w}
}

var bind = wire.Op{Kind: wire.OpAssignTable, Table: 1, Classes: 3}

// TestMisbehavingClient checks the status with which a stream ends after an invalid message of the client.
func TestMisbehavingClient(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(c *client)
		want codes.Code
	}{
		{"a version that was never sent", func(c *client) { c.ack(7, "") }, codes.InvalidArgument},
		{"a refusal", func(c *client) { c.ack(1, "table 1 is unknown to me") }, codes.Aborted},
		{"a refusal after taking it", func(c *client) { c.ack(1, ""); c.ack(1, "no") }, codes.Aborted},
		{"the same taken twice", func(c *client) { c.ack(1, ""); c.ack(1, "") }, codes.InvalidArgument},
		{"a second hello", func(c *client) {
			c.say(&pb.Upward{Says: &pb.Upward_Hello{Hello: hello("q")}})
		}, codes.InvalidArgument},
		{"figures that are none", func(c *client) {
			c.say(&pb.Upward{Says: &pb.Upward_Report{Report: &pb.Report{SpanMs: -1}}})
		}, codes.InvalidArgument},
		{"more failed than tried", func(c *client) {
			c.say(&pb.Upward{Says: &pb.Upward_Report{Report: &pb.Report{Endpoints: []*pb.EndpointLoad{{Tries: 1, Failed: 2}}}}})
		}, codes.InvalidArgument},
		{"a message beyond the limit", func(c *client) {
			c.say(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Refusal: strings.Repeat("x", 1<<17)}}})
		}, codes.ResourceExhausted},
		{"silence", func(*client) {}, codes.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, in, conn := serve(t, nil)
			cl := follow(t, conn)
			cl.hello(hello("p"))
			require.NoError(t, in.joins(t, 1)[0].Send(&wire.Commands{Ops: []wire.Op{bind, set("x", 1)}}))
			cl.assignment()
			c.do(cl)
			assert.Equal(t, c.want, status.Code(cl.end()))
		})
	}
}

// TestCompressedBomb checks that a small message that decompresses to far beyond the limit is rejected. The heartbeat
// is long, since on a busy machine compressing the message takes longer than the three short intervals after which the
// stream would end for silence.
func TestCompressedBomb(t *testing.T) {
	_, in, conn := serve(t, func(d *ListenerConfig) { d.Beat, d.SeenWithin = time.Minute, time.Minute })
	cl := follow(t, conn, grpc.UseCompressor(gzip.Name))
	cl.hello(hello("p"))
	in.joins(t, 1)
	cl.say(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Refusal: strings.Repeat("x", 50<<20)}}})
	assert.Equal(t, codes.ResourceExhausted, status.Code(cl.end()))
}

// TestHellos checks which first messages are accepted.
func TestHellos(t *testing.T) {
	late := &pb.Hello{Version: 1, Proxy: "p", Zone: "a"}
	late.ProtoReflect().SetUnknown(protowire.AppendVarint(protowire.AppendTag(nil, 99, protowire.VarintType), 5))
	for _, c := range []struct {
		name  string
		first *pb.Upward
		want  codes.Code
	}{
		{"fields of a later version", &pb.Upward{Says: &pb.Upward_Hello{Hello: late}}, codes.OK},
		{"another version", &pb.Upward{Says: &pb.Upward_Hello{
			Hello: &pb.Hello{Version: 3, Proxy: "p", Zone: "a"},
		}}, codes.FailedPrecondition},
		{"no name", &pb.Upward{Says: &pb.Upward_Hello{Hello: &pb.Hello{Version: 1, Zone: "a"}}}, codes.InvalidArgument},
		{"a report first", &pb.Upward{Says: &pb.Upward_Report{Report: &pb.Report{}}}, codes.InvalidArgument},
		{"nothing", nil, codes.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, _, conn := serve(t, nil)
			cl := follow(t, conn)
			if c.first != nil {
				cl.say(c.first)
			}
			m, err := cl.stream.Recv()
			assert.Equal(t, c.want, status.Code(err))
			if err == nil {
				assert.NotNil(t, m.GetWelcome())
			}
		})
	}
}

// TestReconnectStorm checks that many streams at once are admitted at a limited rate, and that none is rejected.
func TestReconnectStorm(t *testing.T) {
	const many = 2000
	s, in, conn := serve(t, func(d *ListenerConfig) { d.NewPerS = 1000; d.Beat = 5 * time.Second })
	var conns []*grpc.ClientConn
	for range many / 50 {
		c, err := grpc.NewClient(conn.Target(), plainText)
		require.NoError(t, err)
		defer func() { assert.NoError(t, c.Close()) }()
		conns = append(conns, c)
	}
	var wg sync.WaitGroup
	for i := range many {
		wg.Go(func() {
			cl := follow(t, conns[i%len(conns)])
			cl.say(&pb.Upward{Says: &pb.Upward_Hello{Hello: hello(strings.Repeat("p", 1+i%200) + string(rune('a'+i/200)))}})
			_, err := cl.stream.Recv()
			assert.NoError(t, err)
		})
	}
	wg.Wait()
	assert.Equal(t, many, s.Streams())
	assert.EqualValues(t, 1000, s.newStreamLimiter.Limit())
	assert.Equal(t, newStreamBurst, s.newStreamLimiter.Burst())
	assert.Len(t, in.joins(t, many), many)
}

// TestCollapse checks that the queue of a slow stream keeps the newest state of each line only, and is limited.
func TestCollapse(t *testing.T) {
	st := newStream(10)
	for i := range 1000 {
		ops := []wire.Op{set("x", float64(i)), set("y", 1), {Kind: wire.OpAckRequest, AckNumber: 1}}
		require.NoError(t, st.Send(&wire.Commands{CostLines: 2, Ops: ops}))
	}
	a := st.takeNext().GetAssignment()
	require.Len(t, a.GetSteps(), 2)
	assert.Equal(t, 999.0, a.GetSteps()[0].GetLine().GetWeight())
	assert.Equal(t, []uint32{1}, a.GetMarks())
	assert.EqualValues(t, 2000, a.GetLines())
	var err error
	for i := range 20 {
		err = st.Send(&wire.Commands{Ops: []wire.Op{set(strings.Repeat("e", i+1), 1)}})
	}
	assert.ErrorIs(t, err, ErrSlow)
}

// FuzzUpward decodes arbitrary messages of proxies.
func FuzzUpward(f *testing.F) {
	for _, m := range []*pb.Upward{
		{Says: &pb.Upward_Hello{Hello: hello("p")}},
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
