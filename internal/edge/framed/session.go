package framed

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// serveStream serves one stream to its end.
func (s *Server) serveStream(ctx context.Context, st *stream) {
	defer s.unregister(st)
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
	err = s.inbox.Post(ctx, pilot.Join{Stream: st, Hello: *hello})
	if err == nil {
		log.Debug("joined", zap.String("zone", hello.Zone))
		err = s.readAll(ctx, st, r)
	}
	st.end.End("")
	if werr := g.Wait(); werr != nil {
		err = errors.Join(err, werr)
	}
	log.Info("stream ended", zap.String("why", st.end.Why()), zap.Error(withoutEndOfStream(err)))
	// the loop must hear of it even while this side stops, but not for longer than the loop lives
	lctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = s.inbox.Post(lctx, pilot.Leave{Stream: st})
}

// withoutEndOfStream drops errors that only say that a stream has ended.
func withoutEndOfStream(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
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
		var in pilot.Input
		switch m := m.(type) {
		case *wire.Sums:
			in = pilot.Reported{Stream: st, Sums: m}
		case *wire.Done:
			in = pilot.Applied{Stream: st, Done: *m}
		case *wire.Beat:
			st.acknowledge(m.Seen)
			if st.unackedBefore(time.Now().Add(-s.door.SeenWithin)) {
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
		case <-st.end.Gone():
			word, has := st.end.Word()
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
			st.addUnacked(w.Last())
		}
	}
}
