package xds

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

	"indigousher/internal/controller"
	"indigousher/internal/transport/handshake"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

const (
	// maxSubscribedResources is the largest number of resources of one type that a client may subscribe to. Each type
	// has one resource per request class.
	maxSubscribedResources = 64
	// overdueChecksPerTimeout is how many times per ListenerConfig.AckTimeout a stream is checked for an overdue
	// acknowledgement.
	overdueChecksPerTimeout = 4
)

// adsStream is the server end of an ADS stream.
type adsStream = ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer

// StreamAggregatedResources serves the ADS stream of one proxy. It sends responses in the calling goroutine and reads
// requests in a second one, which ends when this method returns.
func (s *Server) StreamAggregatedResources(g adsStream) error {
	first, err := handshake.ReceiveFirst(s.config.HelloTimeout, refusalSilence, g.Recv)
	if err != nil {
		return err
	}
	st, err := s.admit(g.Context(), first.GetNode())
	if err != nil {
		s.log.Warn("node rejected", zap.Error(err))
		return err
	}
	defer s.unregister(st)
	if s.inbox.Post(g.Context(), controller.ProxyJoined{Stream: st, Hello: newHello(first.GetNode())}) != nil {
		return status.Error(codes.Unavailable, shutdown.ReasonStopping)
	}
	readEnded := make(chan error, 1)
	go func() { readEnded <- s.readRequests(g, st, first) }()
	err = s.writeResponses(g, st, readEnded)
	s.log.Info("stream ended", zap.String("proxy", st.name), zap.Error(err))
	s.postLeave(g.Context(), st)
	return err
}

// newHello converts the node of an xDS client to a Hello. Fresh is set because the client does not say which resources
// it already has; the pilot therefore sends all of them.
func newHello(n *core.Node) wire.Hello {
	return wire.Hello{
		Version: wire.Version,
		Proxy:   n.GetId(),
		Zone:    n.GetLocality().GetZone(),
		Fresh:   true,
		Rate:    n.GetMetadata().GetFields()["reqs_per_second"].GetNumberValue(),
	}
}

// postLeave posts controller.ProxyLeft for a stream. It ignores the cancellation of ctx, which is cancelled when the
// stream has ended, and gives up after shutdown.LeaveTimeout.
func (s *Server) postLeave(ctx context.Context, st *stream) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdown.LeaveTimeout)
	defer cancel()
	_ = s.inbox.Post(ctx, controller.ProxyLeft{Stream: st}) // fails only if the control loop has stopped
}

// readRequests handles the first request, which has been received already, and then reads and handles further ones. It
// returns nil if the client has closed the stream.
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

// receive handles a request, which changes a subscription, acknowledges a response (ACK) or rejects it (NACK). It posts
// a controller.Acked input for each ack request that the client has answered.
func (s *Server) receive(ctx context.Context, st *stream, request *ads.DiscoveryRequest) error {
	if len(request.GetResourceNames()) > maxSubscribedResources {
		return status.Error(codes.InvalidArgument, "too many resources")
	}
	if detail := request.GetErrorDetail(); detail != nil {
		reason := fmt.Sprintf("%.200s", detail.GetMessage())
		s.log.Warn("assignment rejected", zap.String("proxy", st.name), zap.String("reason", reason))
	}
	acks, err := st.handleRequest(request)
	if err != nil {
		return err
	}
	for _, ack := range acks {
		if err := s.inbox.Post(ctx, controller.Acked{Stream: st, Done: ack}); err != nil {
			return err
		}
	}
	return nil
}

// writeResponses sends the subscribed resources initially and whenever they change. It returns when the stream ends or
// an acknowledgement is overdue.
func (s *Server) writeResponses(g adsStream, st *stream, readEnded <-chan error) error {
	check := time.NewTicker(s.config.AckTimeout / overdueChecksPerTimeout)
	defer check.Stop()
	for {
		select {
		case err := <-readEnded:
			return err
		case <-g.Context().Done():
			return g.Context().Err()
		case <-st.end.Done():
			return status.Error(codes.Unavailable, st.end.Reason())
		case <-check.C:
			if st.overdue(s.config.AckTimeout) {
				return status.Error(codes.DeadlineExceeded, "an assignment is not acknowledged")
			}
		case <-st.wake:
			for _, response := range st.takeResponses() {
				if err := g.Send(response); err != nil {
					return err
				}
			}
		}
	}
}
