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
	// newStreamBurst is the number of new streams that are accepted at once before ListenerConfig.MaxNewStreamsPerS
	// limits the rate.
	newStreamBurst = 50
	// maxSendBytes is the largest size of a message to a proxy in bytes. Assignments of complete tables exceed the
	// limit for messages from proxies.
	maxSendBytes = wire.MaxFrame * 4
	// maxStreamsPerConn is the largest number of concurrent HTTP/2 streams per connection. A proxy uses one or two.
	maxStreamsPerConn = 64
	// minPingInterval is the shortest interval of keepalive pings that a client may use. The connection of a client
	// that sends pings more often is closed.
	minPingInterval = time.Second
	// keepaliveHeartbeats is the number of heartbeat intervals without received data after which the server sends a
	// keepalive ping, and also the number of intervals within which the client must answer the ping.
	keepaliveHeartbeats = 3
	// idleTimeoutFactor is the time after which a connection without streams is closed, as a multiple of
	// ListenerConfig.HelloTimeout. Otherwise, idle connections could use up the file descriptors.
	idleTimeoutFactor = 4
	// gracefulStopTimeout is the longest duration of a graceful shutdown. Streams that are still open then are closed.
	gracefulStopTimeout = time.Second
)

// ListenerConfig configures the listener and the streams that it accepts.
type ListenerConfig struct {
	Pilot             string             // name of this pilot, sent in the Welcome message
	HeartbeatInterval time.Duration      // interval of heartbeats in both directions
	ReportInterval    time.Duration      // interval between load reports of a proxy
	AckTimeout        time.Duration      // longest time until a proxy acknowledges an assignment
	HelloTimeout      time.Duration      // longest time until the Hello arrives
	MaxMessageBytes   int                // largest message of a proxy in bytes, after decompression
	MaxStreams        int                // largest number of open streams; further ones are rejected
	MaxQueuedOps      int                // largest number of operations queued per stream; a stream with more is closed
	MaxNewStreamsPerS float64            // new streams accepted per second, others wait; 0: no limit
	Keys              *identity.KeyStore // keys for TLS; nil: plain text without authentication
}

// Server implements the Control service, which serves the streams of proxies.
type Server struct {
	pb.UnimplementedControlServer
	config           ListenerConfig
	inbox            controller.Inbox
	log              *zap.Logger
	newStreamLimiter *rate.Limiter // limits new streams
	grpc             *grpc.Server

	ctx  context.Context // cancelled when Serve returns and by Kill
	stop context.CancelFunc

	mu      sync.Mutex
	streams map[*stream]bool // open streams
}

// New returns a server that posts the messages of proxies to inbox. Serve must be called to accept connections. Other
// services may be registered with Registrar before that.
func New(c ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	s := &Server{config: c, inbox: inbox, log: log, streams: map[*stream]bool{}}
	s.newStreamLimiter = newLimiter(c.MaxNewStreamsPerS)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.grpc = grpc.NewServer(serverOptions(c)...)
	pb.RegisterControlServer(s.grpc, s)
	return s
}

// newLimiter returns a limiter that allows perS events per second, at least 1, with bursts of newStreamBurst. If perS
// is 0 or negative, the rate is not limited.
func newLimiter(perS float64) *rate.Limiter {
	if perS <= 0 {
		return rate.NewLimiter(rate.Inf, newStreamBurst)
	}
	return rate.NewLimiter(rate.Limit(max(perS, 1)), newStreamBurst)
}

// serverOptions returns the gRPC options that limit connections and messages, and enable TLS if c.Keys is set.
func serverOptions(c ListenerConfig) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(c.MaxMessageBytes),
		grpc.MaxSendMsgSize(maxSendBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:              keepaliveHeartbeats * c.HeartbeatInterval,
			Timeout:           keepaliveHeartbeats * c.HeartbeatInterval,
			MaxConnectionIdle: idleTimeoutFactor * c.HelloTimeout,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
		grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.ConnectionTimeout(c.HelloTimeout),
	}
	if c.Keys != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(c.Keys.Server(identity.Proxy))))
	}
	return options
}

// Registrar returns the registrar for other gRPC services that share the listener.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve accepts connections from l until ctx is cancelled. It then redirects each proxy to another pilot, shuts down
// gracefully and returns nil. If serving fails, it returns the error.
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

// redirectAll ends all streams with a Redirect message, upon which the proxies connect to another pilot.
func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		st.end.CloseWith(shutdown.ReasonStopping, newRedirect(&pb.Redirect{Reason: shutdown.ReasonStopping}))
	}
}

// stopGracefully waits until all streams have ended. After gracefulStopTimeout it closes those that are still open.
func (s *Server) stopGracefully() {
	ended := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(gracefulStopTimeout):
		s.grpc.Stop() // makes GracefulStop return
		<-ended
	}
}

// Kill closes all connections without a last message, as if the process had crashed.
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

// register creates a stream. It returns a status error if the limit of open streams is reached.
func (s *Server) register() (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.config.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := newStream(s.config.MaxQueuedOps)
	s.streams[st] = true
	return st, nil
}

// unregister removes an ended stream from the open streams.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}
