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

	"indigousher/internal/controller"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// serveStream serves a stream until it ends. It reads in the calling goroutine, writes in a second one, and waits for
// the second one before it returns.
func (s *Server) serveStream(ctx context.Context, st *stream) {
	defer s.unregister(st)
	defer st.closeConn()
	log := s.log.With(zap.Stringer("from", st.conn.RemoteAddr()))
	r := wire.NewReader(st.conn, s.config.MaxFrameBytes)
	w := wire.NewWriter(st.conn)
	hello, err := s.acceptHello(st, r, w)
	if err != nil {
		log.Warn("hello rejected", zap.Error(err))
		return
	}
	log = log.With(zap.String("proxy", hello.Proxy))
	var writer errgroup.Group
	writer.Go(func() error {
		defer st.closeConn() // unblocks the reader
		return s.writeAll(st, w)
	})
	err = s.inbox.Post(ctx, controller.ProxyJoined{Stream: st, Hello: *hello})
	if err == nil {
		log.Debug("proxy joined", zap.String("zone", hello.Zone))
		err = s.readAll(ctx, st, r)
	}
	st.end.Close("")
	if writeErr := writer.Wait(); writeErr != nil {
		err = errors.Join(err, writeErr)
	}
	log.Info("stream ended", zap.String("reason", st.end.Reason()), zap.Error(ignoreStreamEnd(err)))
	s.postLeave(ctx, st)
}

// postLeave posts controller.ProxyLeft for a stream. It ignores the cancellation of ctx, because the control loop has
// to process the input during a shutdown as well, and gives up after shutdown.LeaveTimeout.
func (s *Server) postLeave(ctx context.Context, st *stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdown.LeaveTimeout)
	defer cancel()
	_ = s.inbox.Post(ctx, controller.ProxyLeft{Stream: st}) // fails only if the control loop has stopped
}

// ignoreStreamEnd returns nil if err only means that the connection was closed, and err otherwise.
func ignoreStreamEnd(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// readAll reads and handles messages until the stream ends, the proxy sends a Bye, or no message arrives for
// shutdown.MaxMissedHeartbeats heartbeat intervals. It returns nil after a Bye.
func (s *Server) readAll(ctx context.Context, st *stream, r *wire.Reader) error {
	for {
		if err := st.conn.SetReadDeadline(time.Now().Add(shutdown.MaxMissedHeartbeats * s.config.HeartbeatInterval)); err != nil {
			return fmt.Errorf("set deadline: %w", err)
		}
		m, err := r.Read()
		if err != nil {
			return err
		}
		if _, bye := m.(*wire.Bye); bye {
			return nil
		}
		if err := s.receive(ctx, st, m); err != nil {
			return err
		}
	}
}

// receive handles one message of a proxy. It returns ErrSlow if a frame has been unacknowledged for too long.
func (s *Server) receive(ctx context.Context, st *stream, m wire.Message) error {
	switch m := m.(type) {
	case *wire.LoadReport:
		return s.inbox.Post(ctx, controller.LoadReported{Stream: st, Sums: m})
	case *wire.Done:
		return s.inbox.Post(ctx, controller.Acked{Stream: st, Done: *m})
	case *wire.Heartbeat:
		st.unacked.acknowledge(m.LastProcessed)
		if st.unacked.olderThan(time.Now().Add(-s.config.AckTimeout)) {
			return ErrSlow
		}
		return nil
	}
	return fmt.Errorf("%T from a proxy: %w", m, wire.ErrType)
}

// writeAll writes queued messages and heartbeats until the stream ends, and then its last message.
func (s *Server) writeAll(st *stream, w *wire.Writer) error {
	heartbeat := time.NewTicker(s.config.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case m := <-st.queue:
			if err := s.write(st, w, m); err != nil {
				return err
			}
			st.unacked.add(w.Last(), time.Now())
		case <-heartbeat.C:
			if err := s.write(st, w, &wire.Heartbeat{}); err != nil {
				return err
			}
		case <-st.end.Done():
			return s.writeLast(st, w)
		}
	}
}

// write writes a message and fails if that takes longer than the write timeout.
func (s *Server) write(st *stream, w *wire.Writer, m wire.Message) error {
	if err := st.conn.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout)); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	_, err := w.Write(m)
	return err
}

// writeLast writes the last message of a stream that has ended, if there is one.
func (s *Server) writeLast(st *stream, w *wire.Writer) error {
	last, ok := st.end.LastMessage()
	if !ok {
		return nil
	}
	_ = st.conn.SetWriteDeadline(time.Now().Add(s.config.WriteTimeout)) // if this fails, the write below fails too
	_, err := w.Write(last)
	return err
}
