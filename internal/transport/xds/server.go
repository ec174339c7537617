package xds

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

	"indigousher/internal/controller"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

const (
	// refusalSilence is the status text if the first message of a stream does not arrive in time.
	refusalSilence = "nothing was said"
	// refusalIdentity is the status text if the client's certificate does not match its node. The details are only
	// logged, so that unauthenticated peers learn nothing about accepted identities.
	refusalIdentity = "not let in"
)

// ListenerConfig configures the streams that the server accepts.
type ListenerConfig struct {
	Classes        []string      // names of the request classes, by index
	ReportInterval time.Duration // interval between load reports of a proxy
	AckTimeout     time.Duration // longest time until a proxy acknowledges an assignment
	HelloTimeout   time.Duration // longest time until the first message arrives
	MaxStreams     int           // largest number of open streams; further ones are rejected
	// CheckIdentity returns an error unless the certificate of the peer of ctx matches the name and zone. It is nil if
	// identities are not checked.
	CheckIdentity func(ctx context.Context, name, zone string) error
}

// Server implements the ADS and LRS services of xDS.
type Server struct {
	ads.UnimplementedAggregatedDiscoveryServiceServer
	lrs.UnimplementedLoadReportingServiceServer
	config ListenerConfig
	inbox  controller.Inbox
	log    *zap.Logger

	mu    sync.Mutex
	nodes map[string]*stream // open ADS streams by node id
}

// New returns a server that posts the messages of proxies to inbox. Register must be called to serve.
func New(c ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
	return &Server{config: c, inbox: inbox, log: log, nodes: map[string]*stream{}}
}

// Register registers the ADS and LRS services with a gRPC server.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	ads.RegisterAggregatedDiscoveryServiceServer(r, s)
	lrs.RegisterLoadReportingServiceServer(r, s)
}

// Streams returns the number of open ADS streams.
func (s *Server) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}

// Stop ends all ADS streams. The clients reconnect, to another pilot if they are configured with several.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.nodes {
		st.Close(shutdown.ReasonStopping)
	}
}

// admit validates a node and creates its stream. An older stream of the same node is closed. The error is a status: the
// node is invalid, its identity is rejected, or the limit of open streams is reached.
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
	} else if len(s.nodes) >= s.config.MaxStreams {
		return nil, status.Error(codes.ResourceExhausted, "too many streams")
	}
	st := newStream(name, s.config.Classes)
	s.nodes[name] = st
	return st, nil
}

// checkIdentity returns a status error if the client's certificate does not match the given name and zone. Without TLS
// it returns nil.
func (s *Server) checkIdentity(ctx context.Context, name, zone string) error {
	if s.config.CheckIdentity == nil {
		return nil
	}
	if err := s.config.CheckIdentity(ctx, name, zone); err != nil {
		s.log.Warn("identity rejected", zap.Error(err))
		return status.Error(codes.PermissionDenied, refusalIdentity)
	}
	return nil
}

// stream returns the open ADS stream of the node with the given id, or nil if there is none.
func (s *Server) stream(name string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// unregister removes an ended stream from the open streams, unless a newer stream of the same node has replaced it.
func (s *Server) unregister(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[st.name] == st {
		delete(s.nodes, st.name)
	}
}
