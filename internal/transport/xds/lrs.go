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

// StreamLoadStats receives the load reports of one proxy and posts them to the inbox. Reports of a proxy without an
// open ADS stream to this pilot are dropped.
func (s *Server) StreamLoadStats(g lrs.LoadReportingService_StreamLoadStatsServer) error {
	first, err := handshake.ReceiveFirst(s.config.HelloTimeout, refusalSilence, g.Recv)
	if err != nil {
		return err
	}
	name := first.GetNode().GetId()
	if err := s.checkIdentity(g.Context(), name, first.GetNode().GetLocality().GetZone()); err != nil {
		return err
	}
	response := &lrs.LoadStatsResponse{Clusters: s.config.Classes, LoadReportingInterval: durationpb.New(s.config.ReportInterval)}
	if err := g.Send(response); err != nil {
		return err
	}
	start := time.Now()
	for {
		request, err := g.Recv()
		if err != nil {
			return err
		}
		st := s.stream(name)
		if st == nil {
			continue
		}
		report, err := st.newReport(request, milliseconds(time.Since(start)))
		if err != nil {
			return status.Error(codes.InvalidArgument, err.Error())
		}
		if report == nil {
			continue
		}
		if err := s.inbox.Post(g.Context(), controller.LoadReported{Stream: st, Sums: report}); err != nil {
			return err
		}
	}
}

// newReport converts a load report and assigns it a sequence number. atMs is the time since the start of the LRS
// stream, ms. It returns nil without an error if the report covers no time.
func (st *stream) newReport(r *lrs.LoadStatsRequest, atMs float64) (*wire.LoadReport, error) {
	report, err := sumReport(r, st.classes)
	if err != nil || report.SpanMs <= 0 {
		return nil, err
	}
	report.AtMs = atMs
	report.Seq = st.nextSeq()
	return report, nil
}

// nextSeq returns the sequence number of the next load report. The first number is 1.
func (st *stream) nextSeq() uint64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastSeq++
	return st.lastSeq
}

// sumReport adds up the statistics of a load report per endpoint and per request class. Clusters that are not in
// classes are ignored. MeanMs is 0 in all statistics, because LRS does not report response times.
func sumReport(r *lrs.LoadStatsRequest, classes []string) (*wire.LoadReport, error) {
	report := &wire.LoadReport{}
	byEndpoint := map[string]*wire.EndpointStats{}
	for _, c := range r.GetClusterStats() {
		if !slices.Contains(classes, c.GetClusterName()) {
			continue
		}
		if len(c.GetUpstreamLocalityStats()) > wire.MaxItems {
			return nil, fmt.Errorf("load of %d localities: %w", len(c.GetUpstreamLocalityStats()), wire.ErrValue)
		}
		report.SpanMs = math.Max(report.SpanMs, milliseconds(c.GetLoadReportInterval().AsDuration()))
		report.RequestStats = append(report.RequestStats, addCluster(byEndpoint, c))
	}
	for _, name := range slices.Sorted(maps.Keys(byEndpoint)) {
		report.EndpointStats = append(report.EndpointStats, *byEndpoint[name])
	}
	return report, nil
}

// addCluster adds the statistics of a cluster to those of its endpoints and returns the request statistics of the
// cluster. Requests that the client has dropped because of the drop policy count as requests, but not as attempts.
func addCluster(byEndpoint map[string]*wire.EndpointStats, c *endpoint.ClusterStats) wire.RequestStats {
	requestStats := wire.RequestStats{Class: c.GetClusterName(), Requests: clampCount(c.GetTotalDroppedRequests())}
	for _, l := range c.GetUpstreamLocalityStats() {
		name := l.GetLocality().GetSubZone()
		stats := byEndpoint[name]
		if stats == nil {
			stats = &wire.EndpointStats{Endpoint: name}
			byEndpoint[name] = stats
		}
		succeeded := clampCount(l.GetTotalSuccessfulRequests())
		failed := clampCount(l.GetTotalErrorRequests())
		stats.Attempts += succeeded + failed
		stats.Failed += failed
		stats.Load = append(stats.Load, loadMetrics(l)...)
		requestStats.Requests += succeeded + failed
		requestStats.Unanswered += failed
	}
	return requestStats
}

// loadMetrics returns the mean of each load metric that the endpoint reported about itself (ORCA). The result is empty
// if the client does not forward them.
func loadMetrics(l *endpoint.UpstreamLocalityStats) []wire.LoadMetric {
	var list []wire.LoadMetric
	for _, f := range l.GetLoadMetricStats() {
		n := f.GetNumRequestsFinishedWithMetric()
		if n > 0 && f.GetTotalMetricValue() >= 0 {
			list = append(list, wire.LoadMetric{Name: f.GetMetricName(), Value: f.GetTotalMetricValue() / float64(n)})
		}
	}
	return list
}

// clampCount limits a count to math.MaxInt32, so that adding counts does not overflow.
func clampCount(n uint64) int { return int(min(n, math.MaxInt32)) }

// milliseconds converts a duration to ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
