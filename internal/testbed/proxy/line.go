package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"

	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// Stream is a proxy's stream to a pilot, over whichever transport.
type Stream interface {
	Write(m wire.Message, within time.Duration) error
	Read(within time.Duration) (wire.Message, error)
	Last() uint32 // number of the last message read
	Close()
}

// Joiner opens a line and says hello.
type Joiner func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error)

// helloTimeout is how long a pilot may take to answer a hello.
const helloTimeout = 2 * time.Second

// Framed joins over the framed wire, under TLS if c is not nil.
func Framed(c *tls.Config) Joiner {
	return func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error) {
		conn, err := dial(ctx, "tcp", address)
		if err != nil {
			return nil, nil, err
		}
		if c != nil {
			conn = tls.Client(conn, c)
		}
		l := &framedStream{conn: conn, writer: wire.NewWriter(conn), reader: wire.NewReader(conn, 0)}
		if err := l.Write(hello, helloTimeout); err != nil {
			l.Close()
			return nil, nil, err
		}
		m, err := l.Read(helloTimeout)
		if err == nil {
			if w, ok := m.(*wire.Welcome); ok {
				return l, w, nil
			}
			err = fmt.Errorf("%T to a hello: %w", m, wire.ErrType)
		}
		l.Close()
		return nil, nil, err
	}
}

type framedStream struct {
	conn net.Conn
	writer    *wire.Writer
	reader    *wire.Reader
}

func (l *framedStream) Write(m wire.Message, within time.Duration) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(within))
	_, err := l.writer.Write(m)
	return err
}

func (l *framedStream) Read(within time.Duration) (wire.Message, error) {
	_ = l.conn.SetReadDeadline(time.Now().Add(within))
	return l.reader.Read()
}

func (l *framedStream) Last() uint32 { return l.reader.Last() }
func (l *framedStream) Close()       { _ = l.conn.Close() }

// GRPC joins over gRPC, under TLS if c is not nil. Zip has it send its messages compressed.
func GRPC(c *tls.Config, zip bool) Joiner {
	return func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error) {
		creds := insecure.NewCredentials()
		if c != nil {
			creds = credentials.NewTLS(c)
		}
		conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(creds),
			grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dial(ctx, "tcp", a) }),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(wire.MaxFrame*4)))
		if err != nil {
			return nil, nil, err
		}
		ctx, cancel := context.WithCancel(ctx)
		l := &grpcStream{conn: conn, cancel: cancel, received: make(chan *pb.Downward), failed: make(chan struct{})}
		var options []grpc.CallOption
		if zip {
			options = append(options, grpc.UseCompressor(gzip.Name))
		}
		timer := time.AfterFunc(helloTimeout, cancel)
		if l.stream, err = pb.NewControlClient(conn).Follow(ctx, options...); err == nil {
			err = l.stream.Send(&pb.Upward{Says: &pb.Upward_Hello{Hello: grpcapi.Hello(hello)}})
		}
		var first *pb.Downward
		if err == nil {
			first, err = l.stream.Recv()
		}
		if !timer.Stop() || err != nil {
			l.Close()
			return nil, nil, errors.Join(err, context.Cause(ctx))
		}
		w := first.GetWelcome()
		if w == nil {
			l.Close()
			return nil, nil, fmt.Errorf("no welcome: %w", wire.ErrType)
		}
		go l.receive()
		return l, &wire.Welcome{Version: int(w.GetVersion()), Pilot: w.GetPilot(), BeatMs: int(w.GetBeatMs()),
			PeriodMs: int(w.GetPeriodMs())}, nil
	}
}

// grpcStream speaks proto and is spoken to in the framed wire's messages.
type grpcStream struct {
	conn   *grpc.ClientConn
	stream grpc.BidiStreamingClient[pb.Upward, pb.Downward]
	cancel context.CancelFunc
	received    chan *pb.Downward
	failed chan struct{}
	err    error
	mu     sync.Mutex
	last   uint32
	unacknowledged   []assignment
}

// assignment is an assignment read and not acknowledged; at is the number of its message.
type assignment struct {
	at      uint32
	version uint64
	marks   []uint32
}

func (l *grpcStream) receive() {
	defer close(l.failed)
	for {
		m, err := l.stream.Recv()
		if err != nil {
			l.err = err
			return
		}
		select {
		case l.received <- m:
		case <-l.stream.Context().Done():
			l.err = l.stream.Context().Err()
			return
		}
	}
}

// Write sends a message. A Done or a Beat that shows an assignment as dealt with acknowledges it.
func (l *grpcStream) Write(m wire.Message, _ time.Duration) error {
	switch m := m.(type) {
	case *wire.Sums:
		return l.stream.Send(&pb.Upward{Says: &pb.Upward_Report{Report: grpcapi.Report(m)}})
	case *wire.Done:
		return l.acknowledge(m.TookMs, func(o assignment) bool {
			for _, n := range o.marks {
				if int(n) == m.Mark {
					return true
				}
			}
			return false
		})
	case *wire.Beat:
		if err := l.acknowledge(0, func(o assignment) bool { return o.at <= m.Seen }); err != nil {
			return err
		}
		return l.stream.Send(&pb.Upward{Says: &pb.Upward_Beat{Beat: &pb.Beat{}}})
	}
	return fmt.Errorf("%T from a proxy: %w", m, wire.ErrType)
}

// acknowledge acknowledges all up to the last that is due.
func (l *grpcStream) acknowledge(tookMs float64, due func(assignment) bool) error {
	l.mu.Lock()
	n := 0
	for i, o := range l.unacknowledged {
		if due(o) {
			n = i + 1
		}
	}
	if n == 0 {
		l.mu.Unlock()
		return nil
	}
	version := l.unacknowledged[n-1].version
	l.unacknowledged = l.unacknowledged[n:]
	l.mu.Unlock()
	return l.stream.Send(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Version: version, TookMs: tookMs}}})
}

// Read returns the next message in the framed wire's form.
func (l *grpcStream) Read(within time.Duration) (wire.Message, error) {
	t := time.NewTimer(within)
	defer t.Stop()
	var m *pb.Downward
	select {
	case m = <-l.received:
	case <-l.failed:
		return nil, l.err
	case <-t.C:
		return nil, errors.New("nothing was heard")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	switch x := m.GetSays().(type) {
	case *pb.Downward_Assignment:
		l.unacknowledged = append(l.unacknowledged, assignment{l.last, x.Assignment.GetVersion(), x.Assignment.GetMarks()})
		return grpcapi.OrdersFrom(x.Assignment), nil
	case *pb.Downward_Pace:
		return &wire.Pace{PeriodMs: int(x.Pace.GetPeriodMs()), Lines: int(x.Pace.GetLines()), Changes: x.Pace.GetChanges()}, nil
	case *pb.Downward_Redirect:
		return &wire.Redirect{Reason: x.Redirect.GetReason()}, nil
	}
	return &wire.Beat{}, nil
}

func (l *grpcStream) Last() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

func (l *grpcStream) Close() {
	l.cancel()
	_ = l.conn.Close()
}
