package grpcapi

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/controller"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// errStopping is the final status of a stream when the pilot's control loop accepts no more inputs.
var errStopping = status.Error(codes.Unavailable, shutdown.ReasonStopping)

// Follow serves the stream of one proxy. It writes in the calling goroutine and reads in a second one, which ends when
// Follow returns.
func (s *Server) Follow(g controlStream) error {
	hello, err := s.receiveHello(g)
	if err != nil {
		s.log.Warn("hello rejected", zap.Error(err))
		return err
	}
	if err := s.newStreamLimiter.Wait(g.Context()); err != nil { // while it waits, the proxy uses its current tables
		return status.Error(codes.Unavailable, "too many at once")
	}
	st, err := s.register()
	if err != nil {
		return err
	}
	defer s.unregister(st)
	if err := g.Send(s.welcome()); err != nil {
		return err
	}
	if s.inbox.Post(s.ctx, controller.ProxyJoined{Stream: st, Hello: *hello}) != nil {
		return errStopping
	}
	readEnded := make(chan error, 1)
	go func() { readEnded <- s.readAll(g, st) }()
	err = s.writeAll(g, st, readEnded)
	st.end.Close("")
	s.log.Info("stream ended", zap.String("proxy", hello.Proxy), zap.String("reason", st.end.Reason()), zap.Error(err))
	s.postLeave(st)
	return err
}

// postLeave posts controller.ProxyLeft for a stream. It gives up after shutdown.LeaveTimeout or when the server stops.
func (s *Server) postLeave(st *stream) {
	ctx, cancel := context.WithTimeout(s.ctx, shutdown.LeaveTimeout)
	defer cancel()
	_ = s.inbox.Post(ctx, controller.ProxyLeft{Stream: st}) // fails only if the control loop or the server has stopped
}

// readAll reads and handles messages until the stream ends or the proxy sends a Bye. It returns nil after a Bye and if
// the proxy has closed the stream.
func (s *Server) readAll(g controlStream, st *stream) error {
	for {
		m, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		st.recordReceived()
		if _, bye := m.GetSays().(*pb.Upward_Bye); bye {
			return nil
		}
		if err := s.receive(st, m); err != nil {
			return err
		}
	}
}

// receive handles one message of a proxy. Unknown message types are ignored, for compatibility with later versions.
// Heartbeats need no handling, since readAll records the time of each message.
func (s *Server) receive(st *stream, m *pb.Upward) error {
	switch content := m.GetSays().(type) {
	case *pb.Upward_Report:
		return s.receiveReport(st, content.Report)
	case *pb.Upward_Ack:
		return s.receiveAck(st, content.Ack)
	case *pb.Upward_Hello:
		return status.Error(codes.InvalidArgument, "a hello comes once")
	}
	return nil
}

// receiveReport posts a load report to the inbox. The error is a status that ends the stream.
func (s *Server) receiveReport(st *stream, r *pb.Report) error {
	report, err := decodeReport(r)
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	if s.inbox.Post(s.ctx, controller.LoadReported{Stream: st, Sums: report}) != nil {
		return errStopping
	}
	return nil
}

// receiveAck posts a controller.Acked input for each ack request that an acknowledgement answers. The error is a status
// that ends the stream, for example if the proxy has refused an assignment.
func (s *Server) receiveAck(st *stream, a *pb.Ack) error {
	ackNumbers, err := st.acknowledge(a)
	if err != nil {
		s.log.Warn("assignment rejected", zap.Error(err))
		return err
	}
	for _, number := range ackNumbers {
		done := wire.Done{Mark: number, TookMs: a.GetTookMs()}
		if s.inbox.Post(s.ctx, controller.Acked{Stream: st, Done: done}) != nil {
			return errStopping
		}
	}
	return nil
}

// writeAll writes queued messages and heartbeats. It returns when the stream ends, when no message of the proxy has
// arrived for shutdown.MaxMissedHeartbeats heartbeat intervals, or when an acknowledgement is overdue.
func (s *Server) writeAll(g controlStream, st *stream, readEnded <-chan error) error {
	heartbeat := time.NewTicker(s.config.HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		var m *pb.Downward
		select {
		case err := <-readEnded:
			return err
		case <-g.Context().Done():
			return g.Context().Err()
		case <-s.ctx.Done():
			return status.Error(codes.Unavailable, "this pilot is gone")
		case <-st.end.Done():
			return writeLast(g, st)
		case <-st.wake:
			m = st.takeNext()
		case <-heartbeat.C:
			if reason := st.overdueReason(s.config.AckTimeout, shutdown.MaxMissedHeartbeats*s.config.HeartbeatInterval); reason != "" {
				return status.Error(codes.DeadlineExceeded, reason)
			}
			m = &pb.Downward{Says: &pb.Downward_Beat{Beat: &pb.Beat{}}}
		}
		if m == nil {
			continue // an earlier wake-up has sent everything already
		}
		if err := g.Send(m); err != nil {
			return err
		}
	}
}

// writeLast writes the last message of an ended stream, if there is one. It returns the final status of the stream,
// joined with the write error if there is one.
func writeLast(g controlStream, st *stream) error {
	finalStatus := status.Error(codes.Unavailable, st.end.Reason())
	last, ok := st.end.LastMessage()
	if !ok {
		return finalStatus
	}
	return errors.Join(g.Send(last), finalStatus)
}
