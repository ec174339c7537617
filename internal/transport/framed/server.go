package framed

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// acceptPause is the pause after a temporary failure to accept, such as a lack of file descriptors.
const acceptRetryDelay = 100 * time.Millisecond

// ListenerConfig configures the listener and the streams that it accepts.
type ListenerConfig struct {
	Pilot         string        // the controller's name, for the welcome
	Beat          time.Duration // heartbeat interval of both sides
	Period        time.Duration // interval of load reports
	WriteDeadline time.Duration // longest duration of a write
	SeenWithin    time.Duration // longest time until a frame is acknowledged
	HelloDeadline time.Duration // longest time until the hello arrives
	MaxFrame      int           // largest body of a frame in bytes
	MaxStreams    int           // largest number of open streams; further ones are closed
	Queue         int           // largest number of messages queued per stream; one more ends it
}

// Server accepts proxies' streams.
type Server struct {
	config ListenerConfig
	inbox  controller.Inbox
	log    *zap.Logger

	mu      sync.Mutex
	streams map[*stream]bool // open streams
	killed  bool             // set by Kill: streams end without a last message
}

// NewServer returns a server that does not listen yet.
func NewServer(c ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	return &Server{config: c, inbox: inbox, log: log, streams: map[*stream]bool{}}
}

// Serve accepts streams from l until ctx ends. It then redirects each proxy to another controller and returns when all
// streams are closed. If the listener fails, it returns the error.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		s.redirectAll()
		return l.Close()
	})
	for {
		conn, err := l.Accept()
		if err == nil {
			s.start(ctx, g, conn)
			continue
		}
		if ctx.Err() != nil {
			if err := g.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
				return fmt.Errorf("stop accepting: %w", err)
			}
			return nil
		}
		if !backoff.Temporary(err) {
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		s.log.Warn("accept failed", zap.Error(err)) // open streams continue
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}

// start serves a connection in a goroutine of the group. The goroutine ends with the stream.
func (s *Server) start(ctx context.Context, g *errgroup.Group, conn net.Conn) {
	st := s.register(conn)
	if st == nil {
		s.log.Warn("too many streams", zap.Stringer("from", conn.RemoteAddr()))
		_ = conn.Close() // nothing was written to it
		return
	}
	g.Go(func() error {
		s.serveStream(ctx, st)
		return nil
	})
}

// Kill closes every stream without a last message, like the death of the process.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for st := range s.streams {
		st.closeConn()
	}
}

// Streams returns the number of open streams.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// register creates the stream of a connection, or returns nil if the limit is reached.
func (s *Server) register(conn net.Conn) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.config.MaxStreams || s.killed {
		return nil
	}
	st := &stream{
		conn:  conn,
		queue: make(chan wire.Message, s.config.Queue),
		end:   shutdown.New[wire.Message](),
	}
	s.streams[st] = true
	return st
}

// unregister removes a stream that has ended.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// redirectAll ends all streams with a redirect to another controller.
func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		if s.killed {
			st.closeConn()
			continue
		}
		st.end.CloseWith(shutdown.ReasonStopping, &wire.Redirect{Reason: shutdown.ReasonStopping})
	}
}
