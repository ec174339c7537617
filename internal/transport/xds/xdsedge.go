// Package xds is the edge for proxies that speak the published xDS protocols: ADS with LDS, CDS and EDS for
// assignments, LRS for load reports. A req kind is a listener and a cluster of its name. Each line of a table is a
// locality of its own, as localities are what clients weigh and report load by. docs/grpc.md says what the mapping
// can't carry. It decides nothing about routing.
package xds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	cluster "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listener "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	router "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcm "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	xdstype "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"indigousher/internal/controller"
	"indigousher/internal/transport/handshake"
	"indigousher/internal/transport/shutdown"
	"indigousher/internal/wire"
)

// The types of resources.
const (
	typeListener = "type.googleapis.com/envoy.config.listener.v3.Listener"
	typeCluster  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	typeEndpoint = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

var types = []string{typeListener, typeCluster, typeEndpoint}

// Figures of the edge's own.
const (
	unit         = 10000 // of a weight of 1
	millions     = 1_000_000
	mostRefusals = 3 // in a row
	mostNames    = 64
	silent       = "nothing was said"
	mostMarks    = 1024 // that wait for a proxy which asks for no endpoints; older ones are forgotten
)

// ListenerConfig says how streams are kept.
type ListenerConfig struct {
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
	door  ListenerConfig
	inbox controller.Inbox
	log   *zap.Logger
	mu    sync.Mutex
	nodes map[string]*stream
}

// New returns a server; Register lets it be asked.
func New(d ListenerConfig, inbox controller.Inbox, log *zap.Logger) *Server {
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

// StreamAggregatedResources serves one proxy.
func (s *Server) StreamAggregatedResources(g ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	first, err := handshake.ReceiveFirst(s.door.HelloIn, silent, g.Recv)
	if err != nil {
		return err
	}
	st, err := s.enter(g.Context(), first.GetNode())
	if err != nil {
		s.log.Warn("node refused", zap.Error(err))
		return err
	}
	defer s.leave(st)
	n := first.GetNode()
	hello := wire.Hello{Version: wire.Version, Proxy: n.GetId(), Zone: n.GetLocality().GetZone(), Fresh: true,
		Rate: n.GetMetadata().GetFields()["reqs_per_second"].GetNumberValue()}
	if err := s.inbox.Post(g.Context(), controller.ProxyJoined{Stream: st, Hello: hello}); err != nil {
		return status.Error(codes.Unavailable, "this pilot stops")
	}
	heard := make(chan error, 1)
	go func() { heard <- s.hear(g, st, first) }()
	err = s.speak(g, st, heard)
	s.log.Info("stream ended", zap.String("proxy", n.GetId()), zap.Error(err))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(g.Context()), time.Second)
	defer cancel()
	_ = s.inbox.Post(ctx, controller.ProxyLeft{Stream: st}) // fails only as the loop has ended
	return err
}

func (s *Server) enter(ctx context.Context, n *core.Node) (*stream, error) {
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

func (s *Server) leave(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes[st.name] == st {
		delete(s.nodes, st.name)
	}
}

// hear takes requests in, the first one as well.
func (s *Server) hear(g ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer, st *stream, req *ads.DiscoveryRequest) error {
	for {
		if len(req.GetResourceNames()) > mostNames {
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
			if err := s.inbox.Post(g.Context(), controller.Acked{Stream: st, Done: m}); err != nil {
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

// speak answers what is asked for and pushes what changes.
func (s *Server) speak(g ads.AggregatedDiscoveryService_StreamAggregatedResourcesServer, st *stream, heard <-chan error) error {
	look := time.NewTicker(s.door.SeenWithin / 4)
	defer look.Stop()
	for {
		select {
		case err := <-heard:
			return err
		case <-g.Context().Done():
			return g.Context().Err()
		case <-st.end.Done():
			return status.Error(codes.Unavailable, st.end.Reason())
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

// StreamLoadStats takes one proxy's load reports.
func (s *Server) StreamLoadStats(g lrs.LoadReportingService_StreamLoadStatsServer) error {
	first, err := handshake.ReceiveFirst(s.door.HelloIn, silent, g.Recv)
	if err != nil {
		return err
	}
	name := first.GetNode().GetId()
	if s.door.Claims != nil {
		if err := s.door.Claims(g.Context(), name, first.GetNode().GetLocality().GetZone()); err != nil {
			s.log.Warn("identity refused", zap.Error(err))
			return status.Error(codes.PermissionDenied, "not let in")
		}
	}
	if err := g.Send(&lrs.LoadStatsResponse{Clusters: s.door.Kinds, LoadReportingInterval: durationpb.New(s.door.Period)}); err != nil {
		return err
	}
	began := time.Now()
	for {
		req, err := g.Recv()
		if err != nil {
			return err
		}
		s.mu.Lock()
		st := s.nodes[name]
		s.mu.Unlock()
		if st == nil {
			continue // load of a proxy that follows nobody here
		}
		sums, err := st.sums(req, float64(time.Since(began))/float64(time.Millisecond))
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if sums == nil {
			continue
		}
		if err := s.inbox.Post(g.Context(), controller.LoadReported{Stream: st, Sums: sums}); err != nil {
			return err
		}
	}
}

// stream is one proxy's; it is the runtime's pilot.Stream.
type stream struct {
	name    string
	kinds   []string
	wake    chan struct{}
	end     *shutdown.Notice[struct{}]
	mu      sync.Mutex
	tables  map[int]*table
	serves  map[string]int // table by kind, once bound
	out     map[string]bool
	asked   map[string][]string // names by type
	due     map[string]bool     // types to answer
	version int
	acked   int
	marks   []mark
	sentAt  time.Time
	refused int
	seq     uint64
}

type table struct {
	lines  map[string]float64
	levels map[int]float64
}

// mark waits for the version that carries it.
type mark struct {
	number, version int
	at              time.Time
}

func newStream(name string, kinds []string) *stream {
	return &stream{name: name, kinds: kinds, wake: make(chan struct{}, 1), end: shutdown.New[struct{}](), tables: map[int]*table{},
		serves: map[string]int{}, out: map[string]bool{}, asked: map[string][]string{}, due: map[string]bool{}}
}

func (st *stream) rouse() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// Send takes orders into the state that is pushed next; only the newest state is ever sent, so nothing queues.
func (st *stream) Send(o *wire.Orders) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, op := range o.Ops {
		st.apply(op)
	}
	st.due[typeEndpoint] = true
	st.rouse()
	return nil
}

func (st *stream) table(number int) *table {
	if st.tables[number] == nil {
		st.tables[number] = &table{lines: map[string]float64{}, levels: map[int]float64{}}
	}
	return st.tables[number]
}

func (st *stream) apply(o wire.Op) {
	switch o.Kind {
	case wire.OpBind:
		st.tables[o.Table] = nil
		st.table(o.Table)
		for k, name := range st.kinds {
			if o.Kinds == 0 || o.Kinds&(1<<k) != 0 {
				st.serves[name] = o.Table
			}
		}
	case wire.OpSet:
		if st.table(o.Table).lines[o.Endpoint] = o.Weight; o.Weight <= 0 {
			delete(st.table(o.Table).lines, o.Endpoint)
		}
	case wire.OpClear:
		st.tables[o.Table] = nil
	case wire.OpWithdraw:
		if st.out[o.Endpoint] = o.Out; !o.Out {
			delete(st.out, o.Endpoint)
		}
	case wire.OpAdmit:
		st.table(o.Table).levels[o.Kinds] = o.Weight
	case wire.OpMark:
		st.marks = append(st.marks, mark{o.Number, st.version + 1, time.Now()})
		st.marks = st.marks[max(0, len(st.marks)-mostMarks):]
	}
}

// Ask can't be carried: an LRS server names its period once.
func (st *stream) Ask(*wire.Pace) error { return nil }

// Close ends the stream.
func (st *stream) Close(reason string) { st.end.Close(reason) }

// request notes what is asked for, and returns the marks that an acknowledgement answers.
func (st *stream) request(r *ads.DiscoveryRequest) (done []wire.Done, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	t := r.GetTypeUrl()
	if !slices.Contains(types, t) { // not served here; kept in mind, types that nobody knows would add up
		return nil, nil
	}
	if names := r.GetResourceNames(); r.GetResponseNonce() == "" || !slices.Equal(names, st.asked[t]) {
		st.asked[t] = slices.Clone(names)
		st.due[t] = true
		st.rouse()
	}
	if r.GetResponseNonce() == "" || t != typeEndpoint {
		return nil, nil
	}
	version, err := strconv.Atoi(r.GetResponseNonce())
	if err != nil || version > st.version {
		return nil, status.Errorf(codes.InvalidArgument, "version %q answered, %d was sent", r.GetResponseNonce(), st.version)
	}
	if r.GetErrorDetail() != nil {
		if st.refused++; st.refused >= mostRefusals {
			return nil, status.Error(codes.Aborted, "assignments are refused again and again")
		}
		return nil, nil
	}
	st.refused, st.acked = 0, max(st.acked, version)
	for len(st.marks) > 0 && st.marks[0].version <= st.acked {
		m := st.marks[0]
		done = append(done, wire.Done{Mark: m.number, TookMs: float64(time.Since(m.at)) / float64(time.Millisecond)})
		st.marks = st.marks[1:]
	}
	return done, nil
}

func (st *stream) overdue(within time.Duration) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.acked < st.version && time.Since(st.sentAt) > within
}

// responses returns what is due, by type.
func (st *stream) responses() (list []*ads.DiscoveryResponse) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, t := range slices.Sorted(maps.Keys(st.due)) {
		names := st.known(st.asked[t])
		if len(names) == 0 {
			continue
		}
		if t == typeEndpoint {
			if len(st.serves) == 0 {
				continue // nothing is bound: the proxy keeps what it has
			}
			if st.acked == st.version {
				st.sentAt = time.Now()
			}
			st.version++
		}
		resp := &ads.DiscoveryResponse{TypeUrl: t, VersionInfo: strconv.Itoa(st.version), Nonce: strconv.Itoa(st.version)}
		for _, name := range names {
			r, err := anypb.New(st.resource(t, name))
			if err != nil {
				continue // can't be laid out: a name that is no text
			}
			resp.Resources = append(resp.Resources, r)
		}
		delete(st.due, t)
		list = append(list, resp)
	}
	return list
}

func (st *stream) known(names []string) (list []string) {
	for _, n := range names {
		if slices.Contains(st.kinds, n) {
			list = append(list, n)
		}
	}
	return list
}

func (st *stream) resource(t, kind string) proto.Message {
	switch t {
	case typeListener:
		return listenerOf(kind)
	case typeCluster:
		return clusterOf(kind)
	}
	return st.assignment(kind)
}

func anyOf(m proto.Message) *anypb.Any {
	a, _ := anypb.New(m) // of messages made here
	return a
}

func listenerOf(kind string) *listener.Listener {
	return &listener.Listener{Name: kind, ApiListener: &listener.ApiListener{ApiListener: anyOf(&hcm.HttpConnectionManager{
		RouteSpecifier: &hcm.HttpConnectionManager_RouteConfig{RouteConfig: &route.RouteConfiguration{Name: kind,
			VirtualHosts: []*route.VirtualHost{{Name: kind, Domains: []string{"*"}, Routes: []*route.Route{{
				Match: &route.RouteMatch{PathSpecifier: &route.RouteMatch_Prefix{Prefix: ""}},
				Action: &route.Route_Route{Route: &route.RouteAction{
					ClusterSpecifier: &route.RouteAction_Cluster{Cluster: kind}}}}}}}}},
		HttpFilters: []*hcm.HttpFilter{{Name: "router", ConfigType: &hcm.HttpFilter_TypedConfig{TypedConfig: anyOf(&router.Router{})}}}})}}
}

func clusterOf(kind string) *cluster.Cluster {
	self := &core.ConfigSource{ConfigSourceSpecifier: &core.ConfigSource_Self{Self: &core.SelfConfigSource{}}}
	return &cluster.Cluster{Name: kind, ClusterDiscoveryType: &cluster.Cluster_Type{Type: cluster.Cluster_EDS},
		EdsClusterConfig: &cluster.Cluster_EdsClusterConfig{EdsConfig: &core.ConfigSource{
			ConfigSourceSpecifier: &core.ConfigSource_Ads{Ads: &core.AggregatedConfigSource{}}}, ServiceName: kind},
		LrsServer: self, LbPolicy: cluster.Cluster_ROUND_ROBIN}
}

// assignment lays out a kind's table: a locality for each line, weighed; what is shut out is left out; a level below
// one as a part of the reqs that is dropped.
func (st *stream) assignment(kind string) *endpoint.ClusterLoadAssignment {
	cla := &endpoint.ClusterLoadAssignment{ClusterName: kind}
	number, bound := st.serves[kind]
	if !bound {
		return cla
	}
	t := st.table(number)
	for _, name := range slices.Sorted(maps.Keys(t.lines)) {
		host, port, ok := split(name)
		if st.out[name] || !ok {
			continue
		}
		weight := uint32(math.Max(1, math.Min(math.Round(t.lines[name]*unit), math.MaxUint32/4096)))
		cla.Endpoints = append(cla.Endpoints, &endpoint.LocalityLbEndpoints{
			Locality:            &core.Locality{Region: "indigousher", SubZone: name},
			LoadBalancingWeight: wrapperspb.UInt32(weight),
			LbEndpoints: []*endpoint.LbEndpoint{{HealthStatus: core.HealthStatus_HEALTHY,
				HostIdentifier: &endpoint.LbEndpoint_Endpoint{Endpoint: &endpoint.Endpoint{Address: &core.Address{
					Address: &core.Address_SocketAddress{SocketAddress: &core.SocketAddress{Address: host,
						PortSpecifier: &core.SocketAddress_PortValue{PortValue: port}}}}}}}}})
	}
	if level := st.level(t, kind); level < 1 {
		cla.Policy = &endpoint.ClusterLoadAssignment_Policy{DropOverloads: []*endpoint.ClusterLoadAssignment_Policy_DropOverload{{
			Category: "level", DropPercentage: &xdstype.FractionalPercent{Numerator: uint32(math.Round((1 - level) * millions)),
				Denominator: xdstype.FractionalPercent_MILLION}}}}
	}
	return cla
}

func (st *stream) level(t *table, kind string) float64 {
	level := 1.0
	k := slices.Index(st.kinds, kind)
	for _, levels := range []map[int]float64{t.levels, st.table(wire.EveryTable).levels} {
		for mask, v := range levels {
			if mask == 0 || mask&(1<<k) != 0 {
				level = math.Min(level, v)
			}
		}
	}
	return level
}

func split(address string) (string, uint32, bool) {
	for i := len(address) - 1; i > 0; i-- {
		if address[i] == ':' {
			port, err := strconv.ParseUint(address[i+1:], 10, 16)
			return address[:i], uint32(port), err == nil
		}
	}
	return "", 0, false
}

// sums turns a load report into the runtime's. Clients measure no time of an answer here, so means are 0.
func (st *stream) sums(r *lrs.LoadStatsRequest, atMs float64) (*wire.Sums, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := &wire.Sums{AtMs: atMs}
	mets := map[string]*wire.Met{}
	for _, c := range r.GetClusterStats() {
		if !slices.Contains(st.kinds, c.GetClusterName()) {
			continue
		}
		if len(c.GetUpstreamLocalityStats()) > wire.MaxItems {
			return nil, fmt.Errorf("load of %d localities: %w", len(c.GetUpstreamLocalityStats()), wire.ErrValue)
		}
		out.SpanMs = math.Max(out.SpanMs, float64(c.GetLoadReportInterval().AsDuration())/float64(time.Millisecond))
		d := wire.Demand{Kind: c.GetClusterName(), Reqs: int(min(c.GetTotalDroppedRequests(), math.MaxInt32))}
		for _, l := range c.GetUpstreamLocalityStats() {
			name := l.GetLocality().GetSubZone()
			if mets[name] == nil {
				mets[name] = &wire.Met{Endpoint: name}
			}
			m := mets[name]
			good, bad := int(min(l.GetTotalSuccessfulRequests(), math.MaxInt32)), int(min(l.GetTotalErrorRequests(), math.MaxInt32))
			m.Tries, m.Failed = m.Tries+good+bad, m.Failed+bad
			d.Reqs, d.Unanswered = d.Reqs+good+bad, d.Unanswered+bad
			for _, f := range l.GetLoadMetricStats() {
				if n := f.GetNumRequestsFinishedWithMetric(); n > 0 && f.GetTotalMetricValue() >= 0 {
					m.Load = append(m.Load, wire.Figure{Name: f.GetMetricName(), Value: f.GetTotalMetricValue() / float64(n)})
				}
			}
		}
		out.Demand = append(out.Demand, d)
	}
	for _, name := range slices.Sorted(maps.Keys(mets)) {
		out.Met = append(out.Met, *mets[name])
	}
	if out.SpanMs <= 0 {
		return nil, nil
	}
	st.seq++
	out.Seq = st.seq
	return out, nil
}
