package grpcapi

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/transport/handshake"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// ListenerConfig says how streams are kept.
type ListenerConfig struct {
	Pilot      string
	Beat       time.Duration
	Period     time.Duration
	SeenWithin time.Duration // an assignment is acknowledged by then
	HelloIn    time.Duration
	MaxMessage int
	MaxStreams int
	QueueLines int                // that may wait for one stream; they collapse to the newest state first
	NewPerS    float64            // streams let in a second; a herd waits its turn
	Keys       *identity.KeyStore // nil: plain text
}

// Figures of the edge's own.
const (
	herd = 50 // streams that are let in at once
)

// Server follows proxies.
type Server struct {
	pb.UnimplementedControlServer
	door  ListenerConfig
	inbox controller.Inbox
	log   *zap.Logger
	pace  *rate.Limiter
	mu    sync.Mutex
	live  map[*stream]bool
	grpc  *grpc.Server
	ctx   context.Context
	stop  context.CancelFunc
}

// New returns a server that does not listen. Others may register on Registrar before Serve.
func New(d ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	s := &Server{door: d, inbox: inbox, log: log, live: map[*stream]bool{},
		pace: rate.NewLimiter(rate.Limit(max(d.NewPerS, 1)), herd)}
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
		options = append(options, grpc.Creds(credentials.NewTLS(d.Keys.Server(identity.Proxy))))
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
		for st := range s.live {
			st.end.CloseWith("this pilot stops", &pb.Downward{Says: &pb.Downward_Redirect{Redirect: &pb.Redirect{Reason: "this pilot stops"}}})
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
	return len(s.live)
}

// Follow serves one proxy's stream.
func (s *Server) Follow(g grpc.BidiStreamingServer[pb.Upward, pb.Downward]) error {
	ctx := g.Context()
	hello, err := s.greet(g)
	if err != nil {
		s.log.Warn("hello refused", zap.Error(err))
		return err
	}
	log := s.log.With(zap.String("proxy", hello.Proxy))
	if err := s.pace.Wait(ctx); err != nil { // it keeps the tables it has while it waits
		return status.Error(codes.Unavailable, "too many at once")
	}
	st, err := s.enter()
	if err != nil {
		return err
	}
	defer s.leave(st)
	if err := g.Send(&pb.Downward{Says: &pb.Downward_Welcome{Welcome: &pb.Welcome{Version: wire.Version, Pilot: s.door.Pilot,
		BeatMs: uint32(s.door.Beat.Milliseconds()), PeriodMs: uint32(s.door.Period.Milliseconds())}}}); err != nil {
		return err
	}
	if err := s.inbox.Post(s.ctx, controller.ProxyJoined{Stream: st, Hello: *hello}); err != nil {
		return status.Error(codes.Unavailable, "this pilot stops")
	}
	heard := make(chan error, 1)
	go func() { heard <- s.hear(g, st) }()
	err = s.speak(ctx, g, st, heard)
	st.end.Close("")
	log.Info("stream ended", zap.String("why", st.end.Reason()), zap.Error(err))
	lctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	_ = s.inbox.Post(lctx, controller.ProxyLeft{Stream: st}) // fails only as the loop has ended
	return err
}

// greet reads and checks the hello. What is wrong with an identity only operators hear.
func (s *Server) greet(g grpc.BidiStreamingServer[pb.Upward, pb.Downward]) (*wire.Hello, error) {
	m, err := handshake.ReceiveFirst(s.door.HelloIn, "a hello must come first", g.Recv)
	if err != nil {
		return nil, err
	}
	h := m.GetHello()
	if h == nil {
		return nil, status.Error(codes.InvalidArgument, "a hello must come first")
	}
	if h.GetVersion() != wire.Version {
		return nil, status.Errorf(codes.FailedPrecondition, "version %d is not spoken here, %d is", h.GetVersion(), wire.Version)
	}
	hello, err := HelloFrom(h)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if s.door.Keys != nil {
		if err := Claims(g.Context(), hello.Proxy, hello.Zone); err != nil {
			s.log.Warn("identity refused", zap.Error(err))
			return nil, status.Error(codes.PermissionDenied, "not let in")
		}
	}
	return hello, nil
}

// Claims checks that a peer's certificate is of the proxy it says it is.
func Claims(ctx context.Context, name, zone string) error {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return identity.ErrIdentity
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return identity.ErrIdentity
	}
	i, err := identity.FromConnection(info.State)
	if err != nil {
		return err
	}
	if i.Name != name || i.Zone != zone {
		return fmt.Errorf("%s says it is %s of %s: %w", i, name, zone, identity.ErrIdentity)
	}
	return nil
}

// enter makes a stream.
func (s *Server) enter() (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.live) >= s.door.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := &stream{wake: make(chan struct{}, 1), end: shutdown.New[*pb.Downward](), most: s.door.QueueLines}
	s.live[st] = true
	return st, nil
}

func (s *Server) leave(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, st)
}

// hear hands over what the proxy says.
func (s *Server) hear(g grpc.BidiStreamingServer[pb.Upward, pb.Downward], st *stream) error {
	for {
		m, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		st.said()
		switch x := m.GetSays().(type) {
		case *pb.Upward_Report:
			sums, err := ReportFrom(x.Report)
			if err != nil {
				return status.Error(codes.InvalidArgument, err.Error())
			}
			if err := s.inbox.Post(s.ctx, controller.LoadReported{Stream: st, Sums: sums}); err != nil {
				return status.Error(codes.Unavailable, "this pilot stops")
			}
		case *pb.Upward_Ack:
			if err := s.ack(st, x.Ack); err != nil {
				return err
			}
		case *pb.Upward_Beat:
		case *pb.Upward_Bye:
			return nil
		case *pb.Upward_Hello:
			return status.Error(codes.InvalidArgument, "a hello comes once")
		}
	}
}

// ack takes an acknowledgement or refusal in.
func (s *Server) ack(st *stream, a *pb.Ack) error {
	marks, err := st.ack(a)
	if err != nil {
		s.log.Warn("assignment not taken", zap.Error(err))
		return err
	}
	for _, n := range marks {
		if err := s.inbox.Post(s.ctx, controller.Acked{Stream: st, Done: wire.Done{Mark: n, TookMs: a.GetTookMs()}}); err != nil {
			return status.Error(codes.Unavailable, "this pilot stops")
		}
	}
	return nil
}

// speak sends what is queued, and beats. It ends with the stream, a proxy that falls silent, or one that acknowledges
// nothing.
func (s *Server) speak(ctx context.Context, g grpc.BidiStreamingServer[pb.Upward, pb.Downward], st *stream, heard <-chan error) error {
	beat := time.NewTicker(s.door.Beat)
	defer beat.Stop()
	for {
		var m *pb.Downward
		select {
		case err := <-heard:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return status.Error(codes.Unavailable, "this pilot is gone")
		case <-st.end.Done():
			if word, has := st.end.LastMessage(); has {
				return errors.Join(g.Send(word), status.Error(codes.Unavailable, st.end.Reason()))
			}
			return status.Error(codes.Unavailable, st.end.Reason())
		case <-st.wake:
			if m = st.next(); m == nil {
				continue
			}
		case <-beat.C:
			if why := st.overdue(s.door.SeenWithin, 3*s.door.Beat); why != "" {
				return status.Error(codes.DeadlineExceeded, why)
			}
			m = &pb.Downward{Says: &pb.Downward_Beat{Beat: &pb.Beat{}}}
		}
		if err := g.Send(m); err != nil {
			return err
		}
	}
}
