package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"slices"
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

// maxGRPCMessage bounds the messages that a proxy takes over gRPC, in bytes. Proto may need more than the framed wire.
const maxGRPCMessage = wire.MaxFrame * 4

// errSilent says that a pilot sent nothing for too long.
var errSilent = errors.New("nothing was heard")

// GRPC joins over gRPC, under TLS if the configuration is not nil, with compressed messages if asked for.
func GRPC(tlsConfig *tls.Config, compress bool) Joiner {
	return func(ctx context.Context, dial Dial, address string, hello *wire.Hello) (Stream, *wire.Welcome, error) {
		conn, err := newGRPCConn(tlsConfig, dial, address)
		if err != nil {
			return nil, nil, err
		}
		ctx, cancel := context.WithCancel(ctx)
		stream := &grpcStream{
			conn:     conn,
			cancel:   cancel,
			received: make(chan *pb.Downward),
			failed:   make(chan struct{}),
		}
		welcome, err := stream.greet(ctx, hello, compress)
		if err != nil {
			stream.Close()
			return nil, nil, err
		}
		go stream.receive() // ends after Close, by its context
		return stream, welcome, nil
	}
}

func newGRPCConn(tlsConfig *tls.Config, dial Dial, address string) (*grpc.ClientConn, error) {
	transport := insecure.NewCredentials()
	if tlsConfig != nil {
		transport = credentials.NewTLS(tlsConfig)
	}
	dialTCP := func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithContextDialer(dialTCP),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxGRPCMessage)))
}

// grpcStream is a stream over gRPC; what it reads and writes takes the form of the framed wire's messages.
type grpcStream struct {
	conn     *grpc.ClientConn
	stream   grpc.BidiStreamingClient[pb.Upward, pb.Downward]
	cancel   context.CancelFunc // of the stream's context
	received chan *pb.Downward
	failed   chan struct{} // closed when nothing more is received
	err      error         // why; set before failed is closed

	mu             sync.Mutex // guards what follows
	last           uint32     // number of the last message read
	unacknowledged []assignment
}

// assignment is an assignment that was read and not acknowledged yet.
type assignment struct {
	message     uint32 // its number in the stream
	version     uint64
	ackRequests []uint32
}

// greet opens the stream, says hello and returns the welcome. Its context is that of the stream; it is cancelled if all
// that takes too long.
func (s *grpcStream) greet(ctx context.Context, hello *wire.Hello, compress bool) (*wire.Welcome, error) {
	timer := time.AfterFunc(helloTimeout, s.cancel)
	first, err := s.open(ctx, hello, compress)
	if !timer.Stop() || err != nil {
		s.cancel() // the timer may have fired and not cancelled yet
		return nil, errors.Join(err, context.Cause(ctx))
	}
	welcome := first.GetWelcome()
	if welcome == nil {
		return nil, fmt.Errorf("no welcome: %w", wire.ErrType)
	}
	return &wire.Welcome{
		Version:        int(welcome.GetVersion()),
		Pilot:          welcome.GetPilot(),
		HeartbeatMs:    int(welcome.GetBeatMs()),
		ReportPeriodMs: int(welcome.GetPeriodMs()),
	}, nil
}

// open opens the stream, says hello and returns the first message.
func (s *grpcStream) open(ctx context.Context, hello *wire.Hello, compress bool) (*pb.Downward, error) {
	var options []grpc.CallOption
	if compress {
		options = append(options, grpc.UseCompressor(gzip.Name))
	}
	stream, err := pb.NewControlClient(s.conn).Follow(ctx, options...)
	if err != nil {
		return nil, err
	}
	s.stream = stream
	if err := stream.Send(&pb.Upward{Says: &pb.Upward_Hello{Hello: grpcapi.EncodeHello(hello)}}); err != nil {
		return nil, err
	}
	return stream.Recv()
}

// receive hands messages to Read until the stream ends, so that Read can have a timeout.
func (s *grpcStream) receive() {
	defer close(s.failed)
	for {
		message, err := s.stream.Recv()
		if err != nil {
			s.err = err
			return
		}
		select {
		case s.received <- message:
		case <-s.stream.Context().Done():
			s.err = s.stream.Context().Err()
			return
		}
	}
}

// Write implements Stream. An ack or a beat acknowledges the assignments that it shows to be dealt with. The timeout is
// not used, as gRPC has none for a single message.
func (s *grpcStream) Write(message wire.Message, _ time.Duration) error {
	switch m := message.(type) {
	case *wire.LoadReport:
		return s.stream.Send(&pb.Upward{Says: &pb.Upward_Report{Report: grpcapi.EncodeReport(m)}})
	case *wire.Done:
		return s.acknowledge(m.TookMs, func(a assignment) bool {
			return slices.ContainsFunc(a.ackRequests, func(number uint32) bool { return int(number) == m.Mark })
		})
	case *wire.Heartbeat:
		if err := s.acknowledge(0, func(a assignment) bool { return a.message <= m.LastProcessed }); err != nil {
			return err
		}
		return s.stream.Send(&pb.Upward{Says: &pb.Upward_Beat{Beat: &pb.Beat{}}})
	}
	return fmt.Errorf("%T from a proxy: %w", message, wire.ErrType)
}

// acknowledge acknowledges all assignments up to the last that is due.
func (s *grpcStream) acknowledge(tookMs float64, due func(assignment) bool) error {
	version, found := s.takeDue(due)
	if !found {
		return nil
	}
	return s.stream.Send(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Version: version, TookMs: tookMs}}})
}

// takeDue removes all assignments up to the last that is due, and returns the version of that one.
func (s *grpcStream) takeDue(due func(assignment) bool) (version uint64, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.unacknowledged) - 1; i >= 0; i-- {
		if due(s.unacknowledged[i]) {
			version = s.unacknowledged[i].version
			s.unacknowledged = s.unacknowledged[i+1:]
			return version, true
		}
	}
	return 0, false
}

// Read implements Stream.
func (s *grpcStream) Read(timeout time.Duration) (wire.Message, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case message := <-s.received:
		return s.translate(message), nil
	case <-s.failed:
		return nil, s.err
	case <-timer.C:
		return nil, errSilent
	}
}

// translate numbers a message and returns it in the framed wire's form; what that has no form for counts as a beat.
func (s *grpcStream) translate(message *pb.Downward) wire.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	switch says := message.GetSays().(type) {
	case *pb.Downward_Assignment:
		s.unacknowledged = append(s.unacknowledged, assignment{
			message:     s.last,
			version:     says.Assignment.GetVersion(),
			ackRequests: says.Assignment.GetMarks(),
		})
		return grpcapi.DecodeAssignment(says.Assignment)
	case *pb.Downward_Pace:
		return &wire.Pace{
			PeriodMs:    int(says.Pace.GetPeriodMs()),
			MaxLines:    int(says.Pace.GetLines()),
			ChangedOnly: says.Pace.GetChanges(),
		}
	case *pb.Downward_Redirect:
		return &wire.Redirect{Reason: says.Redirect.GetReason()}
	}
	return &wire.Heartbeat{}
}

// Last implements Stream.
func (s *grpcStream) Last() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// Close implements Stream.
func (s *grpcStream) Close() {
	s.cancel()
	_ = s.conn.Close()
}
