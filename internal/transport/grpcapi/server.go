package grpcapi

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

	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

const (
	// newStreamBurst is the number of new streams that are admitted at once before NewPerS limits them.
	newStreamBurst = 50
	// maxSendBytes bounds messages to proxies. Assignments of complete tables are larger than what proxies may send.
	maxSendBytes = wire.MaxFrame * 4
	// maxStreamsPerConn is the limit of HTTP/2 streams on one connection; a proxy needs one or two.
	maxStreamsPerConn = 64
	// minPingInterval is the shortest allowed interval of a client's keepalive pings.
	minPingInterval = time.Second
	// keepaliveBeats is the number of heartbeat intervals after which a silent connection is pinged, and within which
	// it has to answer.
	keepaliveHeartbeats = 3
	// idleHellos is how long a connection may be without streams, as a multiple of HelloIn. Idle connections would
	// otherwise use up file descriptors.
	idleTimeoutFactor = 4
	// stopPatience is how long a graceful shutdown may take before the remaining streams are closed.
	gracefulStopTimeout = time.Second
)

// ListenerConfig configures the listener and the streams that it accepts.
type ListenerConfig struct {
	Pilot      string             // the controller's name, for the welcome
	Beat       time.Duration      // heartbeat interval of both sides
	Period     time.Duration      // interval of load reports
	SeenWithin time.Duration      // longest time until an assignment is acknowledged
	HelloIn    time.Duration      // longest time until the hello arrives
	MaxMessage int                // largest message of a proxy in bytes, after decompression
	MaxStreams int                // largest number of open streams; further ones are refused
	QueueLines int                // largest number of ops queued per stream, after collapsing
	NewPerS    float64            // new streams admitted per second, others wait; 0: no limit
	Keys       *identity.KeyStore // nil: plain text without authentication
}

// Server serves proxies' streams.
type Server struct {
	pb.UnimplementedControlServer
	config           ListenerConfig
	inbox            controller.Inbox
	log              *zap.Logger
	newStreamLimiter *rate.Limiter // limits new streams
	grpc             *grpc.Server

	ctx  context.Context // lifetime of the server: ends when Serve returns, or with Kill
	stop context.CancelFunc

	mu      sync.Mutex
	streams map[*stream]bool // open streams
}

// New returns a server that does not listen yet. Other services may be registered with Registrar before Serve.
func New(c ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	s := &Server{config: c, inbox: inbox, log: log, streams: map[*stream]bool{}}
	s.newStreamLimiter = newLimiter(c.NewPerS)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.grpc = grpc.NewServer(serverOptions(c)...)
	pb.RegisterControlServer(s.grpc, s)
	return s
}

// newPace returns a limiter of new streams per second; 0 means no limit.
func newLimiter(perS float64) *rate.Limiter {
	if perS <= 0 {
		return rate.NewLimiter(rate.Inf, newStreamBurst)
	}
	return rate.NewLimiter(rate.Limit(max(perS, 1)), newStreamBurst)
}

// serverOptions returns the options that limit connections and messages.
func serverOptions(c ListenerConfig) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(c.MaxMessage),
		grpc.MaxSendMsgSize(maxSendBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:              keepaliveHeartbeats * c.Beat,
			Timeout:           keepaliveHeartbeats * c.Beat,
			MaxConnectionIdle: idleTimeoutFactor * c.HelloIn,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
		grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.ConnectionTimeout(c.HelloIn),
	}
	if c.Keys != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(c.Keys.Server(identity.Proxy))))
	}
	return options
}

// Registrar returns the registrar for other services on the same listener.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve serves proxies on l until ctx ends. It then redirects each proxy to another controller and shuts down.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	shutDown := make(chan struct{})
	cancelStop := context.AfterFunc(ctx, func() {
		defer close(shutDown)
		s.redirectAll()
		s.stopGracefully()
	})
	err := s.grpc.Serve(l)
	if !cancelStop() {
		<-shutDown
	}
	s.stop()
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil //nolint:nilerr // a requested shutdown is not a failure
	}
	if err != nil {
		return fmt.Errorf("serve gRPC on %s: %w", l.Addr(), err)
	}
	return nil
}

// redirectAll ends all streams with a redirect to another controller.
func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		st.end.CloseWith(shutdown.ReasonStopping, newRedirect(&pb.Redirect{Reason: shutdown.ReasonStopping}))
	}
}

// stopGracefully waits for all streams to end, and closes the remaining ones after stopPatience.
func (s *Server) stopGracefully() {
	ended := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(gracefulStopTimeout):
		s.grpc.Stop() // also ends GracefulStop
		<-ended
	}
}

// Kill closes all connections immediately.
func (s *Server) Kill() {
	s.stop()
	s.grpc.Stop()
}

// Streams returns the number of open streams.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// register creates a stream, or returns an error if the limit is reached.
func (s *Server) register() (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.config.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := newStream(s.config.QueueLines)
	s.streams[st] = true
	return st, nil
}

// unregister removes a stream that has ended.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}
