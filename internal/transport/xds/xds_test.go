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

// backend is a small endpoint that speaks gRPC and counts.
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

// TestUnmodifiedClient has grpc-go's own xDS client follow a pilot: it takes the pilot's weights, leaves a drained
// endpoint within the grace, goes to the next zone when its own has nothing left, and reports load back.
func TestUnmodifiedClient(t *testing.T) {
	source := registry.New(eventlog.NewLog().Stream("list"))
	require.NoError(t, source.Start())
	t.Cleanup(source.Close)
	var backends []*backend
	var entries []wire.Entry
	for i := range 6 {
		b := newBackend(t)
		backends = append(backends, b)
		weight := 1.0
		if i == 0 {
			weight = 3
		}
		entries = append(entries, wire.Entry{Endpoint: b.at, Zone: []string{"a", "b"}[i/3], Machine: "std", Weight: weight})
	}
	source.Put(0, entries...)
	p, err := config.Parse("p.hcl", []byte(fmt.Sprintf(`zones = ["a", "b"]
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
`, source.Address())))
	require.NoError(t, err)
	d, err := daemon.New(p, daemon.Options{})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })

	resolver, err := xds.NewXDSResolverWithConfigForTesting([]byte(fmt.Sprintf(`{
		"xds_servers": [{"server_uri": %q, "channel_creds": [{"type": "insecure"}], "server_features": ["xds_v3"]}],
		"node": {"id": "client-1", "locality": {"zone": "a"}, "metadata": {"reqs_per_second": 50}}}`, d.GRPCAddress())))
	require.NoError(t, err)
	conn, err := grpc.NewClient("xds:///read", grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithResolvers(resolver))
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	health := healthpb.NewHealthClient(conn)
	// call makes calls for a while and returns what each backend took.
	call := func(during time.Duration) (took []int64) {
		var before []int64
		for _, b := range backends {
			before = append(before, b.calls.Load())
		}
		for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(time.Millisecond) {
			cctx, ccancel := context.WithTimeout(t.Context(), 5*time.Second)
			_, err := health.Check(cctx, &healthpb.HealthCheckRequest{}, grpc.WaitForReady(true))
			ccancel()
			require.NoError(t, err)
		}
		for i, b := range backends {
			took = append(took, b.calls.Load()-before[i])
		}
		return took
	}
	call(2 * time.Second) // bound, and some reports
	took := call(2 * time.Second)
	own := float64(took[0] + took[1] + took[2])
	assert.InDelta(t, 0.6, float64(took[0])/own, 0.15, "three of five parts: %v", took)
	assert.Positive(t, d.State().Refused["merged"], "load is reported back")
	assert.Equal(t, 1, d.State().Proxies)

	drain := func(i int) {
		entries[i].Phase = wire.PhaseDraining
		source.Put(0, entries[i])
	}
	drain(0)
	time.Sleep(500 * time.Millisecond)
	took = call(time.Second)
	assert.Zero(t, took[0], "drained: %v", took)
	drain(1)
	drain(2)
	time.Sleep(500 * time.Millisecond)
	took = call(time.Second)
	assert.Zero(t, took[0]+took[1]+took[2], "%v", took)
	assert.Positive(t, took[3]+took[4]+took[5], "the next zone: %v", took)
}
