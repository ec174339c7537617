package grpcedge

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"indigousher/internal/edge/ending"
	"indigousher/internal/keys"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// Door says how streams are kept.
type Door struct {
	Pilot      string
	Beat       time.Duration
	Period     time.Duration
	SeenWithin time.Duration // an assignment is acknowledged by then
	HelloIn    time.Duration
	MaxMessage int
	MaxStreams int
	QueueLines int        // that may wait for one stream; they collapse to the newest state first
	NewPerS    float64    // streams let in a second; a newStreamBurst waits its turn
	Keys       *keys.Ring // nil: plain text
}

// Figures of the edge's own.
const (
	newStreamBurst = 50 // streams that are let in at once
)

// Server follows proxies.
type Server struct {
	pb.UnimplementedControlServer
	door    Door
	inbox   pilot.Inbox
	log     *zap.Logger
	pace    *rate.Limiter
	mu      sync.Mutex
	streams map[*stream]bool
	grpc    *grpc.Server
	ctx     context.Context
	stop    context.CancelFunc
}

// New returns a server that does not listen. Others may register on Registrar before Serve.
func New(d Door, inbox pilot.Inbox, log *zap.Logger) *Server {
	s := &Server{door: d, inbox: inbox, log: log, streams: map[*stream]bool{},
		pace: rate.NewLimiter(rate.Limit(max(d.NewPerS, 1)), newStreamBurst)}
	if d.NewPerS <= 0 {
		s.pace.SetLimit(rate.Inf)
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(d.MaxMessage), grpc.MaxSendMsgSize(wire.MaxFrame * 4),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 3 * d.Beat, Timeout: 3 * d.Beat,
			MaxConnectionIdle: 4 * d.HelloIn}), // one on which nobody follows takes the place of one that would
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: time.Second, PermitWithoutStream: true}),
		grpc.MaxConcurrentStreams(64), grpc.ConnectionTimeout(d.HelloIn)}
	if d.Keys != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(d.Keys.Server(keys.Proxy))))
	}
	s.grpc = grpc.NewServer(options...)
	pb.RegisterControlServer(s.grpc, s)
	return s
}

// Registrar is where further services of the same listener register.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve follows proxies on l until ctx ends. Then each is asked to dial elsewhere, and connections are told to go away.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		s.mu.Lock()
		for st := range s.streams {
			st.end.Say("this pilot stops", &pb.Downward{Says: &pb.Downward_Redirect{Redirect: &pb.Redirect{Reason: "this pilot stops"}}})
		}
		s.mu.Unlock()
		gone := make(chan struct{})
		go func() { s.grpc.GracefulStop(); close(gone) }()
		select {
		case <-gone:
		case <-time.After(time.Second):
			s.grpc.Stop()
			<-gone
		}
	})
	err := s.grpc.Serve(l)
	if !stop() {
		<-done
	}
	s.stop()
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("serve gRPC on %s: %w", l.Addr(), err)
	}
	return nil
}

// Kill closes every connection at once.
func (s *Server) Kill() { s.stop(); s.grpc.Stop() }

// Streams returns how many proxies follow.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// register makes a stream.
func (s *Server) register() (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.door.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := &stream{wake: make(chan struct{}, 1), end: ending.New[*pb.Downward](), most: s.door.QueueLines}
	s.streams[st] = true
	return st, nil
}

func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}
