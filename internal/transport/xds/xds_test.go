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

// backend is a minimal gRPC endpoint that counts calls.
type backend struct {
	healthpb.UnimplementedHealthServer
	calls atomic.Int64
	at    string
}

func (b *backend) Check(context.Context, *healthpb.HealthCheckRequest) (*healthpb.HealthCheckResponse, error) {
	b.calls.Add(1)
	return &healthpb.HealthCheckResponse{Status: healthpb.HealthCheckResponse_SERVING}, nil
}

func newBackend(t *testing.T) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{at: l.Addr().String()}
	s := grpc.NewServer()
	healthpb.RegisterHealthServer(s, b)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return b
}

// site is a controller with its list source and six backends, three in each of two zones.
type site struct {
	source   *registry.Registry
	backends []*backend
	entries  []wire.Entry
	daemon   *daemon.Daemon
}

// newSite starts a site. The first backend has three times the weight of the others.
func newSite(t *testing.T) *site {
	s := &site{source: registry.New(eventlog.NewLog().Stream("list"))}
	require.NoError(t, s.source.Start())
	t.Cleanup(s.source.Close)
	for i := range 6 {
		b := newBackend(t)
		entry := wire.Entry{Endpoint: b.at, Zone: []string{"a", "b"}[i/3], Machine: "std", Weight: 1}
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

// client returns a health client that uses the xDS client of grpc-go, in zone a.
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

// call makes calls for a while and returns how many each backend received.
func (s *site) call(t *testing.T, client healthpb.HealthClient, during time.Duration) (counts []int64) {
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

// drain lists a backend as draining.
func (s *site) drain(i int) {
	s.entries[i].Phase = wire.PhaseDraining
	s.source.Put(0, s.entries[i])
}

// TestUnmodifiedClient checks that the xDS client of grpc-go follows the controller's weights, leaves draining
// endpoints within the grace period, fails over to the other zone when its own has no endpoints left, and reports
// load.
func TestUnmodifiedClient(t *testing.T) {
	const takesEffect = 500 * time.Millisecond // a drained endpoint is left by then
	s := newSite(t)
	client := s.client(t)
	s.call(t, client, 2*time.Second) // bound, and some reports
	took := s.call(t, client, 2*time.Second)
	own := float64(took[0] + took[1] + took[2])
	assert.InDelta(t, 0.6, float64(took[0])/own, 0.15, "three of five parts: %v", took)
	assert.Positive(t, s.daemon.State().Refused["merged"], "load is reported back")
	assert.Equal(t, 1, s.daemon.State().Proxies)

	s.drain(0)
	time.Sleep(takesEffect)
	took = s.call(t, client, time.Second)
	assert.Zero(t, took[0], "drained: %v", took)

	s.drain(1)
	s.drain(2)
	time.Sleep(takesEffect)
	took = s.call(t, client, time.Second)
	assert.Zero(t, took[0]+took[1]+took[2], "%v", took)
	assert.Positive(t, took[3]+took[4]+took[5], "the next zone: %v", took)
}
