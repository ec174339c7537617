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

	"indigousher/internal/edge/ending"
	"indigousher/internal/pause"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// acceptPause is how long accepting rests after a passing failure, such as no free descriptor.
const acceptPause = 100 * time.Millisecond

// reasonStopping is what proxies are told when the controller shuts down.
const reasonStopping = "this pilot stops"

// Door configures the listener and the streams that it accepts.
type Door struct {
	Pilot         string        // the controller's name, for the welcome
	Beat          time.Duration // each side says something this often; a stream is dead after three in silence
	Period        time.Duration // of load reports
	WriteDeadline time.Duration // a write that takes longer ends the stream
	SeenWithin    time.Duration // a frame that is not acknowledged by then ends the stream
	HelloDeadline time.Duration // the hello must come by then
	MaxFrame      int           // bytes of a frame's body
	MaxStreams    int           // open at once; further ones are closed
	Queue         int           // messages that may wait for a stream to write them; one more ends it
}

// Server accepts proxies' streams.
type Server struct {
	door  Door
	inbox pilot.Inbox
	log   *zap.Logger

	mu      sync.Mutex
	streams map[*stream]bool // open ones
	killed  bool             // streams end without a last message
}

// NewServer returns a server that does not listen yet.
func NewServer(d Door, inbox pilot.Inbox, log *zap.Logger) *Server {
	return &Server{door: d, inbox: inbox, log: log, streams: map[*stream]bool{}}
}

// Serve accepts streams from l until ctx ends, then asks each proxy to dial elsewhere and returns when all streams
// are closed. A listener that fails ends it with an error.
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
		if !pause.Passing(err) {
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		s.log.Warn("accept", zap.Error(err)) // those that are served go on
		pause.For(ctx, acceptPause)
	}
}

// start serves a connection in a goroutine of the group, which ends with the stream.
func (s *Server) start(ctx context.Context, g *errgroup.Group, conn net.Conn) {
	st := s.register(conn)
	if st == nil {
		s.log.Warn("too many streams", zap.Stringer("from", conn.RemoteAddr()))
		_ = conn.Close() // nothing was said on it
		return
	}
	g.Go(func() error {
		s.serveStream(ctx, st)
		return nil
	})
}

// Kill closes every stream at once and without a word, as the end of a process would.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for st := range s.streams {
		st.closeConn()
	}
}

// Streams returns how many streams are open.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

// register makes a stream of a connection, or returns nil if as many as may are open.
func (s *Server) register(conn net.Conn) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.door.MaxStreams || s.killed {
		return nil
	}
	st := &stream{
		conn: conn,
		out:  make(chan wire.Message, s.door.Queue),
		end:  ending.New[wire.Message](),
	}
	s.streams[st] = true
	return st
}

// unregister forgets a stream that has ended.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

// redirectAll ends all streams with the request to dial another controller.
func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		if s.killed {
			st.closeConn()
			continue
		}
		st.end.Say(reasonStopping, &wire.Redirect{Reason: reasonStopping})
	}
}
