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

// acceptRetryDelay is the delay before accepting again after a temporary accept error, such as a lack of file
// descriptors.
const acceptRetryDelay = 100 * time.Millisecond

// ListenerConfig configures the listener and the streams that it accepts.
type ListenerConfig struct {
	Pilot             string        // name of this pilot, sent in the Welcome message
	HeartbeatInterval time.Duration // interval of heartbeats in both directions
	ReportInterval    time.Duration // interval between load reports of a proxy
	WriteTimeout      time.Duration // longest duration of writing one message
	AckTimeout        time.Duration // longest time until a proxy acknowledges a frame
	HelloTimeout      time.Duration // longest time until the Hello arrives
	MaxFrameBytes     int           // largest body of a frame in bytes
	MaxStreams        int           // largest number of open streams; further ones are closed
	MaxQueuedMessages int           // largest number of messages queued per stream; a stream with more is closed
}

// Server accepts and serves the streams of proxies.
type Server struct {
	config ListenerConfig
	inbox  controller.Inbox
	log    *zap.Logger

	mu      sync.Mutex
	streams map[*stream]bool // open streams
	killed  bool             // set by Kill; streams are closed without a last message and new ones are rejected
}

// NewServer returns a server that posts the messages of proxies to inbox. Serve must be called to accept streams.
func NewServer(c ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	return &Server{config: c, inbox: inbox, log: log, streams: map[*stream]bool{}}
}

// Serve accepts streams from l until ctx is cancelled. It then redirects each proxy to another pilot and returns nil
// when all streams are closed. If accepting fails permanently, it returns the error without waiting for open streams.
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
		s.log.Warn("accept failed", zap.Error(err)) // open streams are not affected
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}

// start serves a connection in a new goroutine of g, which returns when the stream ends. If the limit of open streams
// is reached, it closes the connection.
func (s *Server) start(ctx context.Context, g *errgroup.Group, conn net.Conn) {
	st := s.register(conn)
	if st == nil {
		s.log.Warn("too many streams", zap.Stringer("from", conn.RemoteAddr()))
		_ = conn.Close() // no data was written that could be lost
		return
	}
	g.Go(func() error {
		s.serveStream(ctx, st)
		return nil
	})
}

// Kill closes all connections without a last message, as if the process had crashed.
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

// register creates the stream of a connection. It returns nil if the limit of open streams is reached or the server has
// been killed.
func (s *Server) register(conn net.Conn) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.config.MaxStreams || s.killed {
		return nil
	}
	st := &stream{
		conn:  conn,
		queue: make(chan wire.Message, s.config.MaxQueuedMessages),
		end:   shutdown.New[wire.Message](),
	}
	s.streams[st] = true
	return st
}

// unregister removes an ended stream from the open streams.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// redirectAll ends all streams with a Redirect message, upon which the proxies connect to another pilot. If the server
// has been killed, it closes the connections instead.
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
