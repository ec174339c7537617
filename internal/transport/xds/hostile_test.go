package xds

import (
	"fmt"
	"math"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpoint "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	lrs "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"indigousher/internal/wire"
)

// TestHostileNode checks that the memory of a stream stays bounded if a client subscribes to many unknown types, or
// never to endpoints, so that ack requests remain unanswered, and that invalid nonces are rejected.
func TestHostileNode(t *testing.T) {
	st := newStream("p", []string{"read"})
	for i := range 5000 {
		_, err := st.handleRequest(&ads.DiscoveryRequest{TypeUrl: fmt.Sprint("type/", i), ResourceNames: []string{"read"}})
		require.NoError(t, err)
		ops := []wire.Op{{Kind: wire.OpAssignTable, Table: 1, Classes: 1}, {Kind: wire.OpAckRequest, AckNumber: i}}
		require.NoError(t, st.Send(&wire.Commands{Ops: ops}))
	}
	assert.Empty(t, st.subscriptions.names)
	assert.LessOrEqual(t, len(st.subscriptions.pending), 1)
	assert.Len(t, st.versions.ackRequests, maxAckRequests)
	assert.Empty(t, st.takeResponses())
	for _, nonce := range []string{"1", "-1x", "99999999999999999999", "NaN"} {
		_, err := st.handleRequest(&ads.DiscoveryRequest{TypeUrl: endpointTypeURL, ResponseNonce: nonce})
		assert.Error(t, err, nonce)
	}
}

// newLoadStats returns a load report with one endpoint, which change may modify.
func newLoadStats(change func(c *endpoint.ClusterStats)) *lrs.LoadStatsRequest {
	c := &endpoint.ClusterStats{
		ClusterName: "read", LoadReportInterval: durationpb.New(time.Second),
		UpstreamLocalityStats: []*endpoint.UpstreamLocalityStats{{
			Locality: &core.Locality{SubZone: "x:1"}, TotalSuccessfulRequests: 5,
			TotalErrorRequests: 2, LoadMetricStats: []*endpoint.EndpointLoadMetricStats{{
				MetricName:                    "util",
				NumRequestsFinishedWithMetric: 2, TotalMetricValue: 1,
			}},
		}},
	}
	change(c)
	return &lrs.LoadStatsRequest{ClusterStats: []*endpoint.ClusterStats{c}}
}

// FuzzLoad checks that arbitrary load reports are converted to valid ones or rejected. The values of load metrics are
// not checked here, because the pilot validates them later.
func FuzzLoad(f *testing.F) {
	for _, change := range []func(c *endpoint.ClusterStats){
		func(*endpoint.ClusterStats) {},
		func(c *endpoint.ClusterStats) { c.UpstreamLocalityStats[0].TotalSuccessfulRequests = math.MaxUint64 },
		func(c *endpoint.ClusterStats) {
			c.UpstreamLocalityStats[0].LoadMetricStats[0].TotalMetricValue = math.Inf(1)
		},
		func(c *endpoint.ClusterStats) {
			c.LoadReportInterval = &durationpb.Duration{Seconds: math.MinInt64, Nanos: -5}
		},
		func(c *endpoint.ClusterStats) { c.TotalDroppedRequests = math.MaxUint64 },
	} {
		b, err := proto.Marshal(newLoadStats(change))
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r lrs.LoadStatsRequest
		if proto.Unmarshal(b, &r) != nil {
			return
		}
		s, err := newStream("p", []string{"read"}).newReport(&r, 1)
		if err != nil || s == nil {
			return
		}
		assert.True(t, s.SpanMs > 0 && !math.IsInf(s.SpanMs, 0), "%v", s.SpanMs)
		for _, m := range s.EndpointStats {
			assert.True(t, m.Failed >= 0 && m.Failed <= m.Attempts, "%+v", m)
		}
		for _, d := range s.RequestStats {
			assert.True(t, d.Unanswered >= 0 && d.Unanswered <= d.Requests, "%+v", d)
		}
	})
}
