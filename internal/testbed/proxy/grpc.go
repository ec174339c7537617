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

// maxGRPCMessage is the maximum size of a message that a proxy receives over gRPC, in bytes. It is larger than
// wire.MaxFrame because the protobuf encoding of a message can be larger than its encoding in the framed protocol.
const maxGRPCMessage = wire.MaxFrame * 4

// errSilent means that no message from the pilot arrived within the read timeout.
var errSilent = errors.New("no message from the pilot within the timeout")

// GRPC returns a Joiner for gRPC. It uses TLS if tlsConfig is not nil, and gzip compression if compress is true.
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
		welcome, err := stream.exchangeHello(ctx, hello, compress)
		if err != nil {
			stream.Close()
			return nil, nil, err
		}
		go stream.receive() // returns after Close, which cancels its context
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

// grpcStream implements Stream over gRPC. It converts between gRPC messages and those of the framed protocol.
type grpcStream struct {
	conn     *grpc.ClientConn
	stream   grpc.BidiStreamingClient[pb.Upward, pb.Downward]
	cancel   context.CancelFunc // cancels the context of the stream
	received chan *pb.Downward  // messages for Read
	failed   chan struct{}      // closed when receiving has ended
	err      error              // error that ended receiving; set before failed is closed

	mu             sync.Mutex   // guards the fields below
	last           uint32       // number of the last message read; 0 before the first
	unacknowledged []assignment // in the order in which they were read
}

// assignment is an assignment message that has been read but not acknowledged.
type assignment struct {
	message     uint32 // number of the message in the stream, counted from 1
	version     uint64
	ackRequests []uint32
}

// exchangeHello opens the stream, sends the hello message and returns the welcome of the pilot. ctx is the context of
// the whole stream; it is cancelled if the welcome does not arrive within helloTimeout.
func (s *grpcStream) exchangeHello(ctx context.Context, hello *wire.Hello, compress bool) (*wire.Welcome, error) {
	timer := time.AfterFunc(helloTimeout, s.cancel)
	first, err := s.open(ctx, hello, compress)
	if !timer.Stop() || err != nil {
		s.cancel() // the timer may have fired without having called cancel yet
		return nil, errors.Join(err, context.Cause(ctx))
	}
	welcome := first.GetWelcome()
	if welcome == nil {
		return nil, fmt.Errorf("first message from the pilot is not a welcome: %w", wire.ErrType)
	}
	return &wire.Welcome{
		Version:        int(welcome.GetVersion()),
		Pilot:          welcome.GetPilot(),
		HeartbeatMs:    int(welcome.GetBeatMs()),
		ReportPeriodMs: int(welcome.GetPeriodMs()),
	}, nil
}

// open opens the stream, sends the hello message and returns the first message from the pilot.
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

// receive passes messages to Read until the stream ends. It runs in its own goroutine so that Read can time out.
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

// Write implements Stream. A wire.Done or wire.Heartbeat message acknowledges the assignments that it reports as
// processed. The timeout is ignored, because gRPC has no timeout for a single message.
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
	return fmt.Errorf("proxy cannot send %T over gRPC: %w", message, wire.ErrType)
}

// acknowledge acknowledges all assignments up to and including the last one for which due returns true. It sends
// nothing if there is none. tookMs is how long applying the last one took, in ms; 0 if unknown.
func (s *grpcStream) acknowledge(tookMs float64, due func(assignment) bool) error {
	version, found := s.takeDue(due)
	if !found {
		return nil
	}
	return s.stream.Send(&pb.Upward{Says: &pb.Upward_Ack{Ack: &pb.Ack{Version: version, TookMs: tookMs}}})
}

// takeDue removes all assignments up to and including the last one for which due returns true, and returns its version.
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

// translate counts a message and converts it to a message of the framed protocol. Messages without an equivalent become
// heartbeats.
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
