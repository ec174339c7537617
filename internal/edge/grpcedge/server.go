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

	"indigousher/internal/keys"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

const (
	// newStreamBurst is how many new streams are let in at once before NewPerS holds them.
	newStreamBurst = 50
	// maxSendBytes bounds a message to a proxy: an assignment of complete tables is larger than what proxies may send.
	maxSendBytes = wire.MaxFrame * 4
	// maxStreamsPerConn is the number of HTTP/2 streams of one connection; a proxy needs one or two.
	maxStreamsPerConn = 64
	// minPingInterval is the least time between two keepalive pings of a client; one that pings more often is cut off.
	minPingInterval = time.Second
	// keepaliveBeats is how many heartbeats a connection may be silent before it is pinged, and then to answer.
	keepaliveBeats = 3
	// idleHellos is how many times the hello's deadline a connection may stand without a stream: one on which nobody
	// follows takes the place of one that would.
	idleHellos = 4
	// stopPatience is how long streams have to end by themselves when the controller stops.
	stopPatience = time.Second
	// reasonStopping is what proxies are told when the controller stops.
	reasonStopping = "this pilot stops"
)

// Door configures the listener and the streams that it accepts.
type Door struct {
	Pilot      string        // the controller's name, for the welcome
	Beat       time.Duration // each side says something this often; a stream is dead after three in silence
	Period     time.Duration // of load reports
	SeenWithin time.Duration // an assignment that is not acknowledged by then ends the stream
	HelloIn    time.Duration // the hello must come by then
	MaxMessage int           // bytes of a proxy's message, unpacked
	MaxStreams int           // followed at once; further ones are refused
	QueueLines int           // that may wait for one stream; they collapse to the newest state first
	NewPerS    float64       // streams let in a second, others wait their turn; 0: all at once
	Keys       *keys.Ring    // nil: plain text, and anybody is believed
}

// Server serves proxies' streams.
type Server struct {
	pb.UnimplementedControlServer
	door  Door
	inbox pilot.Inbox
	log   *zap.Logger
	pace  *rate.Limiter // of new streams
	grpc  *grpc.Server

	ctx  context.Context // of the server's life: it ends when Serve has returned, or with Kill
	stop context.CancelFunc

	mu      sync.Mutex
	streams map[*stream]bool // open ones
}

// New returns a server that does not listen. Others may register on Registrar before Serve.
func New(d Door, inbox pilot.Inbox, log *zap.Logger) *Server {
	s := &Server{door: d, inbox: inbox, log: log, streams: map[*stream]bool{}}
	s.pace = newPace(d.NewPerS)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.grpc = grpc.NewServer(serverOptions(d)...)
	pb.RegisterControlServer(s.grpc, s)
	return s
}

// newPace returns a limit of new streams a second, or none for 0.
func newPace(perS float64) *rate.Limiter {
	if perS <= 0 {
		return rate.NewLimiter(rate.Inf, newStreamBurst)
	}
	return rate.NewLimiter(rate.Limit(max(perS, 1)), newStreamBurst)
}

// serverOptions returns the limits of connections and messages.
func serverOptions(d Door) []grpc.ServerOption {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(d.MaxMessage),
		grpc.MaxSendMsgSize(maxSendBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{
			Time:              keepaliveBeats * d.Beat,
			Timeout:           keepaliveBeats * d.Beat,
			MaxConnectionIdle: idleHellos * d.HelloIn,
		}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             minPingInterval,
			PermitWithoutStream: true,
		}),
		grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.ConnectionTimeout(d.HelloIn),
	}
	if d.Keys != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(d.Keys.Server(keys.Proxy))))
	}
	return options
}

// Registrar is where further services of the same listener register.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve follows proxies on l until ctx ends. Then each is asked to dial elsewhere, and connections are told to go away.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stopped := make(chan struct{})
	disarm := context.AfterFunc(ctx, func() {
		defer close(stopped)
		s.redirectAll()
		s.stopGracefully()
	})
	err := s.grpc.Serve(l)
	if !disarm() {
		<-stopped
	}
	s.stop()
	if ctx.Err() != nil || errors.Is(err, grpc.ErrServerStopped) {
		return nil //nolint:nilerr // it was told to stop, which is no failure
	}
	if err != nil {
		return fmt.Errorf("serve gRPC on %s: %w", l.Addr(), err)
	}
	return nil
}

// redirectAll ends all streams with the request to dial another controller.
func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		st.end.Say(reasonStopping, redirect(&pb.Redirect{Reason: reasonStopping}))
	}
}

// stopGracefully waits until all streams have ended, but not for long.
func (s *Server) stopGracefully() {
	ended := make(chan struct{})
	go func() {
		s.grpc.GracefulStop()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopPatience):
		s.grpc.Stop() // ends GracefulStop too
		<-ended
	}
}

// Kill closes every connection at once.
func (s *Server) Kill() {
	s.stop()
	s.grpc.Stop()
}

// Streams returns how many proxies follow.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// register makes a stream, or returns an error if as many as may are open.
func (s *Server) register() (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.door.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := newStream(s.door.QueueLines)
	s.streams[st] = true
	return st, nil
}

// unregister forgets a stream that has ended.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}
