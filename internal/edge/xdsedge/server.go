package xdsedge

import (
	"context"
	"sync"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

const (
	// reasonStopping is what proxies are told when the controller stops.
	reasonStopping = "this pilot stops"
	// refusalSilence is what ends a stream on which nothing comes.
	refusalSilence = "nothing was said"
	// refusalIdentity is what a proxy is told whose certificate is another's; what is wrong only operators hear.
	refusalIdentity = "not let in"
)

// Door configures the streams that are accepted.
type Door struct {
	Kinds      []string      // the request classes, by index
	Period     time.Duration // of load reports
	SeenWithin time.Duration // an assignment that is not acknowledged by then ends the stream
	HelloIn    time.Duration // the first message of a stream comes by then
	MaxStreams int           // followed at once; further ones are refused
	// Claims returns an error unless a stream's peer is the proxy that it says it is; nil without keys.
	Claims func(ctx context.Context, name, zone string) error
}

// Server answers ADS and LRS.
type Server struct {
	ads.UnimplementedAggregatedDiscoveryServiceServer
	lrs.UnimplementedLoadReportingServiceServer
	door  Door
	inbox pilot.Inbox
	log   *zap.Logger

	mu    sync.Mutex
	nodes map[string]*stream // open ADS streams, by the node's id
}

// New returns a server; Register lets it be asked.
func New(d Door, inbox pilot.Inbox, log *zap.Logger) *Server {
	return &Server{door: d, inbox: inbox, log: log, nodes: map[string]*stream{}}
}

// Register adds the services to a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	ads.RegisterAggregatedDiscoveryServiceServer(r, s)
	lrs.RegisterLoadReportingServiceServer(r, s)
}

// Streams returns how many proxies follow.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

// Stop ends all streams; their clients dial again, elsewhere if they know where.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.nodes {
		st.Close(reasonStopping)
	}
}

// admit makes a stream for a node. An older stream of the same node ends: the proxy has come back.
func (s *Server) admit(ctx context.Context, n *core.Node) (*stream, error) {
	name := n.GetId()
	zone := n.GetLocality().GetZone()
	if name == "" || zone == "" || len(name) > wire.MaxText || len(zone) > wire.MaxText {
		return nil, status.Error(codes.InvalidArgument, "a node wants an id and a locality with a zone")
	}
	if err := s.checkIdentity(ctx, name, zone); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.nodes[name]; old != nil {
		old.Close("the proxy has come back on another stream")
	} else if len(s.nodes) >= s.door.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := newStream(name, s.door.Kinds)
	s.nodes[name] = st
	return st, nil
}

// checkIdentity returns the refusal of a peer that is not the proxy that it says it is.
func (s *Server) checkIdentity(ctx context.Context, name, zone string) error {
	if s.door.Claims == nil {
		return nil
	}
	if err := s.door.Claims(ctx, name, zone); err != nil {
		s.log.Warn("identity refused", zap.Error(err))
		return status.Error(codes.PermissionDenied, refusalIdentity)
	}
	return nil
}

// stream returns the open ADS stream of a node, or nil if there is none.
func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// remove forgets a stream that has ended, unless a newer one has taken its place.
func (s *Server) remove(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[st.name] == st {
		delete(s.nodes, st.name)
	}
}
