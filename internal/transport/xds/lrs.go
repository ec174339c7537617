package xds

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"indigousher/internal/controller"
	"indigousher/internal/transport/handshake"
	"indigousher/internal/wire"
)

// StreamLoadStats receives the load reports of one proxy. Reports of proxies without an ADS stream here are dropped.
func (s *Server) StreamLoadStats(g lrs.LoadReportingService_StreamLoadStatsServer) error {
	first, err := handshake.ReceiveFirst(s.config.HelloIn, refusalSilence, g.Recv)
	if err != nil {
		return err
	}
	name := first.GetNode().GetId()
	if err := s.checkIdentity(g.Context(), name, first.GetNode().GetLocality().GetZone()); err != nil {
		return err
	}
	wanted := &lrs.LoadStatsResponse{Clusters: s.config.Kinds, LoadReportingInterval: durationpb.New(s.config.Period)}
	if err := g.Send(wanted); err != nil {
		return err
	}
	began := time.Now()
	for {
		report, err := g.Recv()
		if err != nil {
			return err
		}
		st := s.stream(name)
		if st == nil {
			continue
		}
		sums, err := st.sums(report, milliseconds(time.Since(began)))
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

// sums converts a load report, sent at atMs on the stream's clock. The result is nil if the report covers no time.
func (st *stream) sums(r *lrs.LoadStatsRequest, atMs float64) (*wire.LoadReport, error) {
	sums, err := sumsFrom(r, st.classes)
	if err != nil || sums.SpanMs <= 0 {
		return nil, err
	}
	sums.AtMs = atMs
	sums.Seq = st.nextReport()
	return sums, nil
}

// nextReport returns the sequence number of the next load report, starting at 1.
func (st *stream) nextReport() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.reports++
	return st.reports
}

// sumsFrom sums a load report by endpoint and by request class. Clusters that are not request classes are ignored. LRS
// carries no response times, so means are 0.
func sumsFrom(r *lrs.LoadStatsRequest, classes []string) (*wire.LoadReport, error) {
	sums := &wire.LoadReport{}
	byEndpoint := map[string]*wire.EndpointStats{}
	for _, c := range r.GetClusterStats() {
		if !slices.Contains(classes, c.GetClusterName()) {
			continue
		}
		if len(c.GetUpstreamLocalityStats()) > wire.MaxItems {
			return nil, fmt.Errorf("load of %d localities: %w", len(c.GetUpstreamLocalityStats()), wire.ErrValue)
		}
		sums.SpanMs = math.Max(sums.SpanMs, milliseconds(c.GetLoadReportInterval().AsDuration()))
		sums.RequestStats = append(sums.RequestStats, addCluster(byEndpoint, c))
	}
	for _, name := range slices.Sorted(maps.Keys(byEndpoint)) {
		sums.EndpointStats = append(sums.EndpointStats, *byEndpoint[name])
	}
	return sums, nil
}

// addCluster adds the load of a cluster to its endpoints and returns the cluster's requests. Requests that the client
// dropped under the drop policy are included.
func addCluster(byEndpoint map[string]*wire.EndpointStats, c *endpoint.ClusterStats) wire.RequestStats {
	demand := wire.RequestStats{Class: c.GetClusterName(), Requests: count(c.GetTotalDroppedRequests())}
	for _, l := range c.GetUpstreamLocalityStats() {
		name := l.GetLocality().GetSubZone()
		met := byEndpoint[name]
		if met == nil {
			met = &wire.EndpointStats{Endpoint: name}
			byEndpoint[name] = met
		}
		succeeded := count(l.GetTotalSuccessfulRequests())
		failed := count(l.GetTotalErrorRequests())
		met.Attempts += succeeded + failed
		met.Failed += failed
		met.Load = append(met.Load, figures(l)...)
		demand.Requests += succeeded + failed
		demand.Unanswered += failed
	}
	return demand
}

// figures returns the mean of each figure of the endpoint's own load report, if the client forwards it (ORCA).
func figures(l *endpoint.UpstreamLocalityStats) []wire.LoadMetric {
	var list []wire.LoadMetric
	for _, f := range l.GetLoadMetricStats() {
		n := f.GetNumRequestsFinishedWithMetric()
		if n > 0 && f.GetTotalMetricValue() >= 0 {
			list = append(list, wire.LoadMetric{Name: f.GetMetricName(), Value: f.GetTotalMetricValue() / float64(n)})
		}
	}
	return list
}

// count limits a count, so that sums of a few counts do not overflow.
func count(n uint64) int { return int(min(n, math.MaxInt32)) }

// milliseconds returns a duration in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
