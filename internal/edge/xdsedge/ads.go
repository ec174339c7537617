package xdsedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/edge/opening"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// StreamAggregatedResources serves one proxy.
func (s *Server) StreamAggregatedResources(g ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	first, err := opening.First(s.door.HelloIn, refusalSilence, g.Recv)
	if err != nil {
		return err
	}
	st, err := s.admit(g.Context(), first.GetNode())
	if err != nil {
		s.log.Warn("node refused", zap.Error(err))
		return err
	}
	defer s.remove(st)
	n := first.GetNode()
	hello := wire.Hello{Version: wire.Version, Proxy: n.GetId(), Zone: n.GetLocality().GetZone(), Fresh: true,
		Rate: n.GetMetadata().GetFields()["reqs_per_second"].GetNumberValue()}
	if err := s.inbox.Post(g.Context(), pilot.Join{Stream: st, Hello: hello}); err != nil {
		return status.Error(codes.Unavailable, "this pilot stops")
	}
	readEnded := make(chan error, 1)
	go func() { readEnded <- s.readRequests(g, st, first) }()
	err = s.writeResponses(g, st, readEnded)
	s.log.Info("stream ended", zap.String("proxy", n.GetId()), zap.Error(err))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.Context()), time.Second)
	defer cancel()
	_ = s.inbox.Post(ctx, pilot.Leave{Stream: st}) // fails only as the loop has ended
	return err
}

// readRequests takes requests in, the first one as well.
func (s *Server) readRequests(g ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer, st *stream, req *ads.DiscoveryRequest) error {
	for {
		if len(req.GetResourceNames()) > maxNames {
			return status.Error(codes.InvalidArgument, "too many resources")
		}
		if d := req.GetErrorDetail(); d != nil {
			s.log.Warn("assignment refused", zap.String("proxy", st.name), zap.String("why", fmt.Sprintf("%.200s", d.GetMessage())))
		}
		marks, err := st.request(req)
		if err != nil {
			return err
		}
		for _, m := range marks {
			if err := s.inbox.Post(g.Context(), pilot.Applied{Stream: st, Done: m}); err != nil {
				return err
			}
		}
		if req, err = g.Recv(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// writeResponses answers what is asked for and pushes what changes.
func (s *Server) writeResponses(g ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer, st *stream, readEnded <-chan error) error {
	look := time.NewTicker(s.door.SeenWithin / 4)
	defer look.Stop()
	for {
		select {
		case err := <-readEnded:
			return err
		case <-g.Context().Done():
			return g.Context().Err()
		case <-st.end.Gone():
			return status.Error(codes.Unavailable, st.end.Why())
		case <-look.C:
			if st.overdue(s.door.SeenWithin) {
				return status.Error(codes.DeadlineExceeded, "an assignment is not acknowledged")
			}
		case <-st.wake:
			for _, resp := range st.responses() {
				if err := g.Send(resp); err != nil {
					return err
				}
			}
		}
	}
}
