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

// Door says how streams are kept.
type Door struct {
	Pilot         string
	Beat          time.Duration // each side says something this often; a stream is dead after three in silence
	Period        time.Duration // of sums
	WriteDeadline time.Duration
	SeenWithin    time.Duration // a proxy says by then that it has dealt with a frame
	HelloDeadline time.Duration
	MaxFrame      int // bytes
	MaxStreams    int
	Queue         int // messages that may wait for a slow stream
}

// Server accepts proxies' streams.
type Server struct {
	door    Door
	inbox   pilot.Inbox
	log     *zap.Logger
	mu      sync.Mutex
	streams map[*stream]bool
	// killed is set by Kill: streams end without a word.
	killed bool
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
		if err != nil {
			if ctx.Err() != nil {
				if err := g.Wait(); err != nil && !errors.Is(err, net.ErrClosed) {
					return fmt.Errorf("stop accepting: %w", err)
				}
				return nil
			}
			if pause.Passing(err) { // no free descriptor: those that are served go on
				s.log.Warn("accept", zap.Error(err))
				pause.For(ctx, 100*time.Millisecond)
				continue
			}
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		st := s.register(conn)
		if st == nil {
			s.log.Warn("too many streams", zap.Stringer("from", conn.RemoteAddr()))
			_ = conn.Close()
			continue
		}
		g.Go(func() error { s.serveStream(ctx, st); return nil })
	}
}

// Kill closes every stream at once and without a word, as the end of a process would.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for st := range s.streams {
		_ = st.conn.Close()
	}
}

// Streams returns how many streams are open.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.streams)
}

func (s *Server) register(conn net.Conn) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.streams) >= s.door.MaxStreams || s.killed {
		return nil
	}
	st := &stream{conn: conn, out: make(chan wire.Message, s.door.Queue), end: ending.New[wire.Message]()}
	s.streams[st] = true
	return st
}

func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, st)
}

func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.streams {
		if s.killed {
			_ = st.conn.Close()
			continue
		}
		st.end.Say("this pilot stops", &wire.Redirect{Reason: "this pilot stops"})
	}
}
