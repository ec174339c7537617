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

// Figures of the edge's own.
const (
	weightUnit     = 10000 // of a weight of 1
	dropUnits      = 1_000_000
	maxRefusals    = 3 // in a row
	maxNames       = 64
	refusalSilence = "nothing was said"
	maxMarks       = 1024 // that wait for a proxy which asks for no endpoints; older ones are forgotten
)

// Door says how streams are kept.
type Door struct {
	Kinds      []string
	Period     time.Duration
	SeenWithin time.Duration
	HelloIn    time.Duration // the first message of a stream comes by then
	MaxStreams int
	// Claims checks that a stream's peer is the proxy it says it is; nil without keys.
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
	nodes map[string]*stream
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
		st.Close("this pilot stops")
	}
}

func (s *Server) admit(ctx context.Context, n *core.Node) (*stream, error) {
	name, zone := n.GetId(), n.GetLocality().GetZone()
	if name == "" || zone == "" || len(name) > wire.MaxText || len(zone) > wire.MaxText {
		return nil, status.Error(codes.InvalidArgument, "a node wants an id and a locality with a zone")
	}
	if s.door.Claims != nil {
		if err := s.door.Claims(ctx, name, zone); err != nil {
			s.log.Warn("identity refused", zap.Error(err))
			return nil, status.Error(codes.PermissionDenied, "not let in")
		}
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

func (s *Server) remove(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[st.name] == st {
		delete(s.nodes, st.name)
	}
}
