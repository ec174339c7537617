package grpcedge

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
	pb "indigousher/proto/indigousher/v1"
)

// Follow serves one proxy's stream.
func (s *Server) Follow(g grpc.BidiStreamingServer[pb.Upward, pb.Downward]) error {
	ctx := g.Context()
	hello, err := s.greet(g)
	if err != nil {
		s.log.Warn("hello refused", zap.Error(err))
		return err
	}
	log := s.log.With(zap.String("proxy", hello.Proxy))
	if err := s.pace.Wait(ctx); err != nil { // it keeps the tables it has while it waits
		return status.Error(codes.Unavailable, "too many at once")
	}
	st, err := s.register()
	if err != nil {
		return err
	}
	defer s.unregister(st)
	if err := g.Send(&pb.Downward{Says: &pb.Downward_Welcome{Welcome: &pb.Welcome{Version: wire.Version, Pilot: s.door.Pilot,
		BeatMs: uint32(s.door.Beat.Milliseconds()), PeriodMs: uint32(s.door.Period.Milliseconds())}}}); err != nil {
		return err
	}
	if err := s.inbox.Post(s.ctx, pilot.Join{Stream: st, Hello: *hello}); err != nil {
		return status.Error(codes.Unavailable, "this pilot stops")
	}
	readEnded := make(chan error, 1)
	go func() { readEnded <- s.readAll(g, st) }()
	err = s.writeAll(ctx, g, st, readEnded)
	st.end.End("")
	log.Info("stream ended", zap.String("why", st.end.Why()), zap.Error(err))
	lctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	_ = s.inbox.Post(lctx, pilot.Leave{Stream: st}) // fails only as the loop has ended
	return err
}

// readAll hands over what the proxy says.
func (s *Server) readAll(g grpc.BidiStreamingServer[pb.Upward, pb.Downward], st *stream) error {
	for {
		m, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		st.heardNow()
		switch x := m.GetSays().(type) {
		case *pb.Upward_Report:
			sums, err := ReportFrom(x.Report)
			if err != nil {
				return status.Error(codes.InvalidArgument, err.Error())
			}
			if err := s.inbox.Post(s.ctx, pilot.Reported{Stream: st, Sums: sums}); err != nil {
				return status.Error(codes.Unavailable, "this pilot stops")
			}
		case *pb.Upward_Ack:
			if err := s.receiveAck(st, x.Ack); err != nil {
				return err
			}
		case *pb.Upward_Beat:
		case *pb.Upward_Bye:
			return nil
		case *pb.Upward_Hello:
			return status.Error(codes.InvalidArgument, "a hello comes once")
		}
	}
}

// receiveAck takes an acknowledgement or refusal in.
func (s *Server) receiveAck(st *stream, a *pb.Ack) error {
	marks, err := st.acknowledge(a)
	if err != nil {
		s.log.Warn("assignment not taken", zap.Error(err))
		return err
	}
	for _, n := range marks {
		if err := s.inbox.Post(s.ctx, pilot.Applied{Stream: st, Done: wire.Done{Mark: n, TookMs: a.GetTookMs()}}); err != nil {
			return status.Error(codes.Unavailable, "this pilot stops")
		}
	}
	return nil
}

// writeAll sends what is queued, and beats. It ends with the stream, a proxy that falls silent, or one that acknowledges
// nothing.
func (s *Server) writeAll(ctx context.Context, g grpc.BidiStreamingServer[pb.Upward, pb.Downward], st *stream, readEnded <-chan error) error {
	beat := time.NewTicker(s.door.Beat)
	defer beat.Stop()
	for {
		var m *pb.Downward
		select {
		case err := <-readEnded:
			return err
		case <-ctx.Done():
			return ctx.Err()
		case <-s.ctx.Done():
			return status.Error(codes.Unavailable, "this pilot is gone")
		case <-st.end.Gone():
			if word, has := st.end.Word(); has {
				return errors.Join(g.Send(word), status.Error(codes.Unavailable, st.end.Why()))
			}
			return status.Error(codes.Unavailable, st.end.Why())
		case <-st.wake:
			if m = st.next(); m == nil {
				continue
			}
		case <-beat.C:
			if why := st.overdue(s.door.SeenWithin, 3*s.door.Beat); why != "" {
				return status.Error(codes.DeadlineExceeded, why)
			}
			m = &pb.Downward{Says: &pb.Downward_Beat{Beat: &pb.Beat{}}}
		}
		if err := g.Send(m); err != nil {
			return err
		}
	}
}
