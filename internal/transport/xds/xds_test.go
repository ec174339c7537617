package xds_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/xds"

	"indigousher/internal/config"
	"indigousher/internal/daemon"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// backend is a gRPC server that implements only the health service and counts its calls.
type backend struct {
	healthpb.UnimplementedHealthServer
	calls   atomic.Int64
	address string
}

// Check implements the health service. The status is always SERVING.
func (b *backend) Check(context.Context, *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	b.calls.Add(1)
	return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_SERVING}, nil
}

// newBackend starts a backend.
func newBackend(t *testing.T) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{address: l.Addr().String()}
	s := grpc.NewServer()
	healthpb.RegisterHealthServer(s, b)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return b
}

// site is a pilot with its endpoint list source and six backends, of which three are in zone a and three in zone b.
type site struct {
	source   *registry.Registry
	backends []*backend
	entries  []wire.Entry
	daemon   *daemon.Daemon
}

// newSite starts a site in which the first backend has three times the weight of each other one.
func newSite(t *testing.T) *site {
	s := &site{source: registry.New(eventlog.NewLog().Stream("list"))}
	require.NoError(t, s.source.Start())
	t.Cleanup(s.source.Close)
	for i := range 6 {
		b := newBackend(t)
		entry := wire.Entry{Endpoint: b.address, Zone: []string{"a", "b"}[i/3], Machine: "std", Weight: 1}
		if i == 0 {
			entry.Weight = 3
		}
		s.backends = append(s.backends, b)
		s.entries = append(s.entries, entry)
	}
	s.source.Put(0, s.entries...)
	parsed, err := config.Parse("p.hcl", fmt.Appendf(nil, `zones = ["a", "b"]
machines = ["std"]
req_kind "read" {}
pilot {
  listen = "127.0.0.1:0"
  grpc   = "127.0.0.1:0"
  admin  = ""
}
reports { period = "300ms" }
rules { drain_grace = "2s" }
streams { beat = "200ms" }
keys { plain = true }
list { address = %q }
`, s.source.Address()))
	require.NoError(t, err)
	s.daemon, err = daemon.New(parsed, daemon.Options{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.daemon.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	return s
}

// client returns a health service client in zone a that resolves and balances with the xDS client of grpc-go.
func (s *site) client(t *testing.T) healthpb.HealthClient {
	bootstrap := fmt.Appendf(nil, `{
		"xds_servers": [{
			"server_uri": %q,
			"channel_creds": [{"type": "insecure"}],
			"server_features": ["xds_v3"]
		}],
		"node": {"id": "client-1", "locality": {"zone": "a"}, "metadata": {"reqs_per_second": 50}}
	}`, s.daemon.GRPCAddress())
	resolver, err := xds.NewXDSResolverWithConfigForTesting(bootstrap)
	require.NoError(t, err)
	plainText := grpc.WithTransportCredentials(insecure.NewCredentials())
	conn, err := grpc.NewClient("xds:///read", plainText, grpc.WithResolvers(resolver))
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, conn.Close()) })
	return healthpb.NewHealthClient(conn)
}

// countCalls makes calls for the given duration and returns the number of calls that each backend received.
func (s *site) countCalls(t *testing.T, client healthpb.HealthClient, during time.Duration) (counts []int64) {
	var before []int64
	for _, b := range s.backends {
		before = append(before, b.calls.Load())
	}
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := client.Check(ctx, &healthpb.HealthCheckRequest{}, grpc.WaitForReady(true))
		cancel()
		require.NoError(t, err)
	}
	for i, b := range s.backends {
		counts = append(counts, b.calls.Load()-before[i])
	}
	return counts
}

// drainBackend marks a backend as draining in the endpoint list.
func (s *site) drainBackend(i int) {
	s.entries[i].Phase = wire.PhaseDraining
	s.source.Put(0, s.entries[i])
}

// TestUnmodifiedClient checks that the xDS client of grpc-go applies the weights of the pilot, stops using draining
// endpoints within the grace period, fails over to the other zone when all endpoints of its own zone drain, and reports
// load.
func TestUnmodifiedClient(t *testing.T) {
	const takesEffect = 500 * time.Millisecond // time within which clients stop using a draining endpoint
	s := newSite(t)
	client := s.client(t)
	s.countCalls(t, client, 2*time.Second) // until a table is assigned and load has been reported
	received := s.countCalls(t, client, 2*time.Second)
	localTotal := float64(received[0] + received[1] + received[2])
	assert.InDelta(t, 0.6, float64(received[0])/localTotal, 0.15, "the first backend has weight 3 of 5: %v", received)
	assert.Positive(t, s.daemon.State().ReportLines["merged"], "load reports have been accepted")
	assert.Equal(t, 1, s.daemon.State().Proxies)

	s.drainBackend(0)
	time.Sleep(takesEffect)
	received = s.countCalls(t, client, time.Second)
	assert.Zero(t, received[0], "calls to a draining backend: %v", received)

	s.drainBackend(1)
	s.drainBackend(2)
	time.Sleep(takesEffect)
	received = s.countCalls(t, client, time.Second)
	assert.Zero(t, received[0]+received[1]+received[2], "calls to draining backends: %v", received)
	assert.Positive(t, received[3]+received[4]+received[5], "calls to the other zone: %v", received)
}
