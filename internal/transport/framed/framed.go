// Package framed is the edge where proxies join over the project's own framed protocol. It accepts streams, checks
// hellos, keeps heartbeats and deadlines, and hands what arrives to the runtime. It decides nothing about routing.
// One stream's faults end that stream alone.
package framed

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// ListenerConfig says how streams are kept.
type ListenerConfig struct {
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
	door  ListenerConfig
	inbox controller.Inbox
	log   *zap.Logger
	mu    sync.Mutex
	live  map[*stream]bool
	// killed is set by Kill: streams end without a word.
	killed bool
}

// NewServer returns a server that does not listen yet.
func NewServer(d ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	return &Server{door: d, inbox: inbox, log: log, live: map[*stream]bool{}}
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
			if backoff.Temporary(err) { // no free descriptor: those that are served go on
				s.log.Warn("accept", zap.Error(err))
				backoff.Sleep(ctx, 100*time.Millisecond)
				continue
			}
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		st := s.enter(conn)
		if st == nil {
			s.log.Warn("too many streams", zap.Stringer("from", conn.RemoteAddr()))
			_ = conn.Close()
			continue
		}
		g.Go(func() error { s.attend(ctx, st); return nil })
	}
}

// Kill closes every stream at once and without a word, as the end of a process would.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.killed = true
	for st := range s.live {
		_ = st.conn.Close()
	}
}

// Streams returns how many streams are open.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.live)
}

func (s *Server) enter(conn net.Conn) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.live) >= s.door.MaxStreams || s.killed {
		return nil
	}
	st := &stream{conn: conn, out: make(chan wire.Message, s.door.Queue), end: shutdown.New[wire.Message]()}
	s.live[st] = true
	return st
}

func (s *Server) leave(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, st)
}

func (s *Server) redirectAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for st := range s.live {
		if s.killed {
			_ = st.conn.Close()
			continue
		}
		st.end.CloseWith("this pilot stops", &wire.Redirect{Reason: "this pilot stops"})
	}
}

// attend serves one stream to its end.
func (s *Server) attend(ctx context.Context, st *stream) {
	defer s.leave(st)
	defer st.conn.Close()
	log := s.log.With(zap.Stringer("from", st.conn.RemoteAddr()))
	r := wire.NewReader(st.conn, s.door.MaxFrame)
	w := wire.NewWriter(st.conn)
	hello, err := s.greet(st, r, w)
	if err != nil {
		log.Warn("hello refused", zap.Error(err))
		return
	}
	log = log.With(zap.String("proxy", hello.Proxy))
	g := errgroup.Group{}
	g.Go(func() error {
		defer st.conn.Close() // ends the reader too
		return s.writeAll(st, w)
	})
	err = s.inbox.Post(ctx, controller.ProxyJoined{Stream: st, Hello: *hello})
	if err == nil {
		log.Debug("joined", zap.String("zone", hello.Zone))
		err = s.readAll(ctx, st, r)
	}
	st.end.Close("")
	if werr := g.Wait(); werr != nil {
		err = errors.Join(err, werr)
	}
	log.Info("stream ended", zap.String("why", st.end.Reason()), zap.Error(quiet(err)))
	// the loop must hear of it even while this side stops, but not for longer than the loop lives
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = s.inbox.Post(lctx, controller.ProxyLeft{Stream: st})
}

// quiet drops errors that only say that a stream has ended.
func quiet(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// greet reads the hello and answers it.
func (s *Server) greet(st *stream, r *wire.Reader, w *wire.Writer) (*wire.Hello, error) {
	if err := st.conn.SetDeadline(time.Now().Add(s.door.HelloDeadline)); err != nil {
		return nil, fmt.Errorf("set deadline: %w", err)
	}
	m, err := r.Read()
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*wire.Hello)
	refusal := ""
	switch {
	case !ok:
		refusal = "a hello must come first"
	case hello.Version != wire.Version:
		refusal = fmt.Sprintf("version %d is not spoken here, %d is", hello.Version, wire.Version)
	}
	if tc, sealed := st.conn.(*tls.Conn); sealed && refusal == "" {
		if who, err := identity.FromConnection(tc.ConnectionState()); err != nil || who.Name != hello.Proxy || who.Zone != hello.Zone {
			_, werr := w.Write(&wire.Refuse{Reason: "not let in"})
			return nil, errors.Join(fmt.Errorf("%s says it is %s of %s: %w", who, hello.Proxy, hello.Zone, identity.ErrIdentity), err, werr)
		}
	}
	if refusal != "" {
		_, err := w.Write(&wire.Refuse{Reason: refusal})
		return nil, errors.Join(errors.New(refusal), err)
	}
	if _, err := w.Write(&wire.Welcome{Version: wire.Version, Pilot: s.door.Pilot,
		BeatMs: int(s.door.Beat.Milliseconds()), PeriodMs: int(s.door.Period.Milliseconds())}); err != nil {
		return nil, err
	}
	return hello, st.conn.SetWriteDeadline(time.Time{})
}

// readAll hands over what the proxy says until the stream ends or falls silent.
func (s *Server) readAll(ctx context.Context, st *stream, r *wire.Reader) error {
	for {
		if err := st.conn.SetReadDeadline(time.Now().Add(3 * s.door.Beat)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		m, err := r.Read()
		if err != nil {
			return err
		}
		var in controller.Input
		switch m := m.(type) {
		case *wire.Sums:
			in = controller.LoadReported{Stream: st, Sums: m}
		case *wire.Done:
			in = controller.Acked{Stream: st, Done: *m}
		case *wire.Beat:
			st.seen(m.Seen)
			if st.overdue(time.Now().Add(-s.door.SeenWithin)) {
				return ErrSlow
			}
			continue
		case *wire.Bye:
			return nil
		default:
			return fmt.Errorf("%T from a proxy: %w", m, wire.ErrType)
		}
		if err := s.inbox.Post(ctx, in); err != nil {
			return err
		}
	}
}

// writeAll writes what is queued, and a beat when there is nothing.
func (s *Server) writeAll(st *stream, w *wire.Writer) error {
	beat := time.NewTicker(s.door.Beat)
	defer beat.Stop()
	for {
		var m wire.Message
		select {
		case m = <-st.out:
		case <-beat.C:
			m = &wire.Beat{}
		case <-st.end.Done():
			word, has := st.end.LastMessage()
			if !has {
				return nil
			}
			_ = st.conn.SetWriteDeadline(time.Now().Add(s.door.WriteDeadline))
			_, err := w.Write(word)
			return err
		}
		if err := st.conn.SetWriteDeadline(time.Now().Add(s.door.WriteDeadline)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		if _, err := w.Write(m); err != nil {
			return err
		}
		if _, beat := m.(*wire.Beat); !beat {
			st.wrote(w.Last())
		}
	}
}

// stream is one proxy's connection; it is the runtime's pilot.Stream.
type stream struct {
	conn net.Conn
	out  chan wire.Message
	end  *shutdown.Notice[wire.Message]
	mu   sync.Mutex
	owed []frame // frames that the proxy has not said to have dealt with
}

// frame is one that was written.
type frame struct {
	number uint32
	at     time.Time
}

func (st *stream) wrote(number uint32) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.owed = append(st.owed, frame{number, time.Now()})
}

// seen forgets the frames up to a number.
func (st *stream) seen(number uint32) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for len(st.owed) > 0 && st.owed[0].number <= number {
		st.owed = st.owed[1:]
	}
}

// overdue returns whether a frame written before a time is still owed.
func (st *stream) overdue(before time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.owed) > 0 && st.owed[0].at.Before(before)
}

// ErrSlow ends the stream of a proxy that does not read.
var ErrSlow = errors.New("the proxy reads too slowly or not at all")

// Send queues orders for writing.
func (st *stream) Send(m *wire.Orders) error { return st.queue(m) }

// Ask queues a wish about reports.
func (st *stream) Ask(m *wire.Pace) error { return st.queue(m) }

func (st *stream) queue(m wire.Message) error {
	select {
	case st.out <- m:
		return nil
	default:
		return ErrSlow
	}
}

// Close ends the stream and tells the proxy why.
func (st *stream) Close(reason string) {
	st.end.CloseWith(reason, &wire.Refuse{Reason: reason[:min(len(reason), wire.MaxText)]})
}
