package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	ads "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"indigousher/internal/config"
	"indigousher/internal/identity"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// counted counts what a connection reads.
type counted struct {
	net.Conn
	n *atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// sight notes when each of many has seen its latest orders, and how many lines those held.
type sight struct {
	mu    sync.Mutex
	at    map[string]time.Time
	lines atomic.Int64
}

func (s *sight) saw(name string, lines int) {
	s.lines.Add(int64(lines))
	s.mu.Lock()
	s.at[name] = time.Now()
	s.mu.Unlock()
}

// since returns when those that have seen anything after a time did, in ms after it.
func (s *sight) since(t time.Time) (took []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.at {
		if at.After(t) {
			took = append(took, float64(at.Sub(t))/1e6)
		}
	}
	return took
}

// followLine reads and acknowledges on a line of the stand-ins' joiners.
func followLine(ctx context.Context, join proxy.Joiner, dial proxy.Dial, at, name, zone string, s *sight) error {
	l, _, err := join(ctx, dial, at, &wire.Hello{Version: 1, Proxy: name, Zone: zone, Rate: 2})
	if err != nil {
		return err
	}
	defer l.Close()
	defer context.AfterFunc(ctx, l.Close)()
	for {
		m, err := l.Read(time.Minute)
		if err != nil {
			return nil // the benchmark is over
		}
		if o, ok := m.(*wire.Orders); ok {
			s.saw(name, len(o.Ops))
			for _, op := range o.Ops {
				if op.Kind == wire.OpMark {
					_ = l.Write(&wire.Done{Mark: op.Number}, time.Second)
				}
			}
		}
		_ = l.Write(&wire.Beat{Seen: l.Last()}, time.Second)
	}
}

// followXDS asks for the assignments of one kind and acknowledges them.
func followXDS(ctx context.Context, c *tls.Config, dial proxy.Dial, at, name, zone string, s *sight) error {
	creds := insecure.NewCredentials()
	if c != nil {
		creds = credentials.NewTLS(c)
	}
	conn, err := grpc.NewClient("passthrough:///"+at, grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return dial(ctx, "tcp", a) }),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(16<<20)))
	if err != nil {
		return err
	}
	defer conn.Close()
	g, err := ads.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	req := &ads.DiscoveryRequest{Node: &core.Node{Id: name, Locality: &core.Locality{Zone: zone}}, ResourceNames: []string{"read"},
		TypeUrl: "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"}
	for {
		if err := g.Send(req); err != nil {
			return nil
		}
		resp, err := g.Recv()
		if err != nil {
			return nil // the benchmark is over
		}
		s.saw(name, manyEndpoints/len(zones))
		req = &ads.DiscoveryRequest{TypeUrl: req.TypeUrl, ResourceNames: req.ResourceNames, VersionInfo: resp.VersionInfo, ResponseNonce: resp.Nonce}
	}
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkTransports measures the transports beside each other: from a change of the list to the last proxy having it,
// and what a line costs on both sides together. Proxies and pilot share one process. One operation is one change.
func BenchmarkTransports(b *testing.B) {
	authority, err := identity.NewAuthority("bench", time.Hour)
	require.NoError(b, err)
	for _, many := range []int{34, 450, 2000} {
		for _, transport := range []string{"framed", "framed+tls", "grpc", "grpc+tls", "xds"} {
			b.Run(fmt.Sprintf("%s/proxies=%d", transport, many), func(b *testing.B) { measure(b, transport, many, authority) })
		}
	}
}

func measure(b *testing.B, transport string, many int, authority *identity.Authority) {
	l := registry.New(eventlog.NewLog().Stream("list"))
	sealed := transport == "framed+tls" || transport == "grpc+tls"
	dir, from := b.TempDir(), time.Now().Add(-time.Minute)
	issue := func(role identity.Role, zone, name string) identity.Files {
		f, err := authority.Issue(dir, identity.Identity{Role: role, Zone: zone, Name: name}, from, time.Hour)
		require.NoError(b, err)
		return f
	}
	t := config.Defaults()
	t.Zones, t.Machines, t.Kinds = zones, []string{"std"}, []config.RequestClass{{Name: "read", Repeats: "replayable",
		ResponseTarget: time.Second, ClientTimeout: 3 * time.Second, Payoff: 1}}
	t.Zone, t.Listen, t.Admin, t.Proxies, t.LinesPerS, t.Backlog, t.MessagesMost = "a", "127.0.0.1:0", "", many, 1e9, 1e9, 0
	t.GRPC, t.Plain, t.Beat, t.NewPerS, t.SeenWithin, t.MaxStreams = "127.0.0.1:0", !sealed, 20*time.Second, 0, time.Minute, 5000
	if sealed {
		ring, err := identity.Load(issue(identity.Source, "-", "list"), nil)
		require.NoError(b, err)
		l.UseTLS(ring.Server(identity.Pilot))
		t.Keys = issue(identity.Pilot, "a", t.Name)
	}
	require.NoError(b, l.Start())
	defer l.Close()
	entries := fleet()
	l.Put(0, entries...)
	t.ListAddress = l.Address()
	d, err := New(&t, Options{})
	require.NoError(b, err)
	stop, ended := runB(b, d)
	var read atomic.Int64
	dial := func(ctx context.Context, network, at string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, at)
		if err != nil {
			return nil, err
		}
		return &counted{c, &read}, nil
	}
	rings := map[string]*identity.KeyStore{}
	s := &sight{at: map[string]time.Time{}}
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range many {
		name, zone := fmt.Sprintf("p%d", i), zones[i%3]
		var c *tls.Config
		if sealed {
			rings[name], err = identity.Load(issue(identity.Proxy, zone, name), nil)
			require.NoError(b, err)
			c = rings[name].Client(identity.Pilot)
		}
		wg.Go(func() {
			var err error
			switch transport {
			case "framed", "framed+tls":
				err = followLine(ctx, proxy.Framed(c), dial, d.Address(), name, zone, s)
			case "grpc", "grpc+tls":
				err = followLine(ctx, proxy.GRPC(c, false), dial, d.GRPCAddress(), name, zone, s)
			default:
				err = followXDS(ctx, c, dial, d.GRPCAddress(), name, zone, s)
			}
			if err != nil && ctx.Err() == nil {
				b.Error(err)
			}
		})
	}
	wait := func(t time.Time) []float64 {
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if took := s.since(t); len(took) >= many {
				return took
			}
		}
		b.Fatalf("%d of %d have it", len(s.since(t)), many)
		return nil
	}
	wait(time.Time{})
	time.Sleep(1500 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	var all, last []float64
	phase := wire.PhaseReady
	lines, bytes, used := s.lines.Load(), read.Load(), cpu()
	for b.Loop() {
		time.Sleep(1200 * time.Millisecond)
		phase = wire.PhaseDraining - phase
		for i := range 3 {
			entries[i].Phase = phase
		}
		since := time.Now()
		l.Put(0, entries[:3]...)
		took := wait(since)
		all, last = append(all, took...), append(last, slices.Max(took))
	}
	slices.Sort(all)
	slices.Sort(last)
	n := float64(s.lines.Load() - lines)
	b.ReportMetric(all[len(all)/2], "ms-p50")
	b.ReportMetric(last[len(last)/2], "ms-last")
	b.ReportMetric(float64(read.Load()-bytes)/n, "bytes/line")
	b.ReportMetric(float64(cpu()-used)/1e3/n, "cpu-us/line")
	b.ReportMetric(float64(after.HeapInuse-before.HeapInuse)/1024/float64(many), "KB/stream")
	cancel()
	wg.Wait()
	stop()
	<-ended
}
