package xdsedge

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"indigousher/internal/edge/opening"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// StreamLoadStats takes one proxy's load reports.
func (s *Server) StreamLoadStats(g lrs.LoadReportingService_StreamLoadStatsServer) error {
	first, err := opening.First(s.door.HelloIn, refusalSilence, g.Recv)
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
		if err := s.inbox.Post(g.Context(), pilot.Reported{Stream: st, Sums: sums}); err != nil {
			return err
		}
	}
}

// sums turns a load report into the runtime's. Clients measure no time of an answer here, so means are 0.
func (st *stream) sums(r *lrs.LoadStatsRequest, atMs float64) (*wire.Sums, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := &wire.Sums{AtMs: atMs}
	mets := map[string]*wire.Met{}
	for _, c := range r.GetClusterStats() {
		if !slices.Contains(st.classes, c.GetClusterName()) {
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
	st.reports++
	out.Seq = st.reports
	return out, nil
}
