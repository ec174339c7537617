package xdsedge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/edge/opening"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

const (
	// maxNames is how many resources of a type a client may ask for; there is one for each request class.
	maxNames = 64
	// overdueChecks is how often a late acknowledgement is looked for within the time that it may take.
	overdueChecks = 4
	// leavePatience is how long the controller's loop may take, while this side stops, to hear that a proxy has left.
	leavePatience = time.Second
)

// adsStream is one proxy's ADS stream as gRPC has it.
type adsStream = ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer

// StreamAggregatedResources serves one proxy's assignments: it answers and pushes in this goroutine and reads in
// another, which ends as this returns.
func (s *Server) StreamAggregatedResources(g adsStream) error {
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
	if s.inbox.Post(g.Context(), pilot.Join{Stream: st, Hello: helloFrom(first.GetNode())}) != nil {
		return status.Error(codes.Unavailable, reasonStopping)
	}
	readEnded := make(chan error, 1)
	go func() { readEnded <- s.readRequests(g, st, first) }()
	err = s.writeResponses(g, st, readEnded)
	s.log.Info("stream ended", zap.String("proxy", st.name), zap.Error(err))
	s.postLeave(g.Context(), st)
	return err
}

// helloFrom returns what a node says of itself. Its tables are not known: it is sent all of them.
func helloFrom(n *core.Node) wire.Hello {
	return wire.Hello{
		Version: wire.Version,
		Proxy:   n.GetId(),
		Zone:    n.GetLocality().GetZone(),
		Fresh:   true,
		Rate:    n.GetMetadata().GetFields()["reqs_per_second"].GetNumberValue(),
	}
}

// postLeave tells the controller that a proxy has left, also when the stream's context has ended.
func (s *Server) postLeave(ctx context.Context, st *stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leavePatience)
	defer cancel()
	_ = s.inbox.Post(ctx, pilot.Leave{Stream: st}) // fails only as the loop has ended
}

// readRequests takes in the first request and all that follow, until the stream ends.
func (s *Server) readRequests(g adsStream, st *stream, request *ads.DiscoveryRequest) error {
	for {
		if err := s.receive(g.Context(), st, request); err != nil {
			return err
		}
		next, err := g.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		request = next
	}
}

// receive deals with one request, which subscribes to resources, acknowledges them, or refuses them.
func (s *Server) receive(ctx context.Context, st *stream, request *ads.DiscoveryRequest) error {
	if len(request.GetResourceNames()) > maxNames {
		return status.Error(codes.InvalidArgument, "too many resources")
	}
	if detail := request.GetErrorDetail(); detail != nil {
		why := fmt.Sprintf("%.200s", detail.GetMessage())
		s.log.Warn("assignment refused", zap.String("proxy", st.name), zap.String("why", why))
	}
	marks, err := st.request(request)
	if err != nil {
		return err
	}
	for _, done := range marks {
		if err := s.inbox.Post(ctx, pilot.Applied{Stream: st, Done: done}); err != nil {
			return err
		}
	}
	return nil
}

// writeResponses answers what is asked for and pushes what changes. It returns when the stream ends, or the client
// acknowledges nothing.
func (s *Server) writeResponses(g adsStream, st *stream, readEnded <-chan error) error {
	check := time.NewTicker(s.door.SeenWithin / overdueChecks)
	defer check.Stop()
	for {
		select {
		case err := <-readEnded:
			return err
		case <-g.Context().Done():
			return g.Context().Err()
		case <-st.end.Gone():
			return status.Error(codes.Unavailable, st.end.Why())
		case <-check.C:
			if st.overdue(s.door.SeenWithin) {
				return status.Error(codes.DeadlineExceeded, "an assignment is not acknowledged")
			}
		case <-st.wake:
			for _, response := range st.responses() {
				if err := g.Send(response); err != nil {
					return err
				}
			}
		}
	}
}
