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
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"indigousher/internal/identity"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/proxy"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

// BenchmarkTransports measures the transports beside each other: from a change of the endpoint list to the last proxy
// having it, and what a line costs on both sides together. Proxies and controller share one process. One operation is
// one change.
func BenchmarkTransports(b *testing.B) {
	authority, err := identity.NewAuthority("bench", time.Hour)
	require.NoError(b, err)
	for _, proxies := range []int{34, 450, 2000} {
		for _, transport := range []string{"framed", "framed+tls", "grpc", "grpc+tls", "xds"} {
			b.Run(fmt.Sprintf("%s/proxies=%d", transport, proxies), func(b *testing.B) {
				newTransportBench(b, transport, proxies, authority).run(b)
			})
		}
	}
}

// transportBench is a controller, its endpoint list, and proxies that follow it over one transport.
type transportBench struct {
	transport string
	proxies   int
	authority *identity.Authority
	keyDir    string // "" without TLS
	source    *registry.Registry
	entries   []wire.Entry
	daemon    *Daemon
	stop      context.CancelFunc
	ended     chan error

	seen      *sightings
	bytesRead atomic.Int64 // by the proxies
	following sync.WaitGroup
}

func newTransportBench(b *testing.B, transport string, proxies int, authority *identity.Authority) *transportBench {
	t := &transportBench{
		transport: transport,
		proxies:   proxies,
		authority: authority,
		source:    registry.New(eventlog.NewLog().Stream("list")),
		entries:   fleet(),
		seen:      &sightings{at: map[string]time.Time{}},
	}
	if transport == "framed+tls" || transport == "grpc+tls" {
		t.keyDir = b.TempDir()
		t.source.UseTLS(t.keyStore(b, identity.Source, "-", "list").Server(identity.Pilot))
	}
	require.NoError(b, t.source.Start())
	b.Cleanup(func() { t.source.Close() })
	t.source.Put(0, t.entries...)
	t.startDaemon(b)
	return t
}

// startDaemon starts the controller, without limits of its own on the channel.
func (t *transportBench) startDaemon(b *testing.B) {
	cfg := benchConfig(t.source.Address(), t.proxies)
	cfg.LinesPerS = 1e9
	cfg.Backlog = 1e9
	cfg.GRPC = "127.0.0.1:0"
	cfg.Beat = 20 * time.Second
	cfg.NewPerS = 0
	cfg.SeenWithin = time.Minute
	cfg.MaxStreams = 5000
	cfg.Plain = t.keyDir == ""
	if t.keyDir != "" {
		cfg.Keys = t.issue(b, identity.Pilot, "a", cfg.Name)
	}
	var err error
	t.daemon, err = New(&cfg, Options{})
	require.NoError(b, err)
	t.stop, t.ended = run(b, t.daemon)
}

func (t *transportBench) issue(b *testing.B, role identity.Role, zone, name string) identity.Files {
	from := time.Now().Add(-time.Minute)
	files, err := t.authority.Issue(t.keyDir, identity.Identity{Role: role, Zone: zone, Name: name}, from, time.Hour)
	require.NoError(b, err)
	return files
}

func (t *transportBench) keyStore(b *testing.B, role identity.Role, zone, name string) *identity.KeyStore {
	store, err := identity.Load(t.issue(b, role, zone, name), nil)
	require.NoError(b, err)
	return store
}

// run measures, and reports.
func (t *transportBench) run(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	before := heapInUse()
	for i := range t.proxies {
		t.startProxy(ctx, b, i)
	}
	t.awaitAll(b, time.Time{})
	time.Sleep(1500 * time.Millisecond)
	heap := heapInUse() - before
	var all []float64  // ms, of each proxy and change
	var last []float64 // ms, of the last proxy and each change
	phase := wire.PhaseReady
	lines := t.seen.lines.Load()
	bytesRead := t.bytesRead.Load()
	used := cpuTime()
	for b.Loop() {
		time.Sleep(1200 * time.Millisecond)
		phase = wire.PhaseDraining - phase
		since := time.Now()
		t.source.Put(0, drainOrReturn(t.entries, phase)...)
		took := t.awaitAll(b, since)
		all = append(all, took...)
		last = append(last, slices.Max(took))
	}
	slices.Sort(all)
	slices.Sort(last)
	linesSeen := float64(t.seen.lines.Load() - lines)
	b.ReportMetric(all[len(all)/2], "ms-p50")
	b.ReportMetric(last[len(last)/2], "ms-last")
	b.ReportMetric(float64(t.bytesRead.Load()-bytesRead)/linesSeen, "bytes/line")
	b.ReportMetric(float64(cpuTime()-used)/1e3/linesSeen, "cpu-us/line")
	b.ReportMetric(heap/1024/float64(t.proxies), "KB/stream")
	cancel()
	t.following.Wait()
	t.stop()
	require.NoError(b, <-t.ended)
}

// startProxy starts a proxy that follows until ctx ends.
func (t *transportBench) startProxy(ctx context.Context, b *testing.B, i int) {
	p := &benchProxy{bench: t, name: fmt.Sprintf("p%d", i), zone: zones[i%3]}
	if t.keyDir != "" {
		p.tls = t.keyStore(b, identity.Proxy, p.zone, p.name).Client(identity.Pilot)
	}
	t.following.Go(func() {
		if err := p.follow(ctx); err != nil && ctx.Err() == nil {
			assert.NoError(b, err)
		}
	})
}

// awaitAll waits until each proxy has seen something after a time, and returns how long that took each, in ms.
func (t *transportBench) awaitAll(b *testing.B, since time.Time) []float64 {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if took := t.seen.after(since); len(took) >= t.proxies {
			return took
		}
	}
	b.Fatalf("%d of %d have it", len(t.seen.after(since)), t.proxies)
	return nil
}

// heapInUse returns the bytes of the heap after a collection.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse)
}

// cpuTime returns what this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // of the process itself it never fails
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// sightings note when each proxy has seen its latest commands, and how many lines all of these held.
type sightings struct {
	mu    sync.Mutex
	at    map[string]time.Time
	lines atomic.Int64
}

func (s *sightings) add(name string, lines int) {
	s.lines.Add(int64(lines))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[name] = time.Now()
}

// after returns when those that have seen anything after a time did, in ms after it.
func (s *sightings) after(t time.Time) (took []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.at {
		if at.After(t) {
			took = append(took, float64(at.Sub(t))/float64(time.Millisecond))
		}
	}
	return took
}

// benchProxy follows over the transport of its benchmark.
type benchProxy struct {
	bench *transportBench
	name  string
	zone  string
	tls   *tls.Config // nil: plain text
}

// follow returns nil when the controller or the benchmark ends.
func (p *benchProxy) follow(ctx context.Context) error {
	switch p.bench.transport {
	case "framed", "framed+tls":
		return p.followLine(ctx, proxy.Framed(p.tls), p.bench.daemon.Address())
	case "grpc", "grpc+tls":
		return p.followLine(ctx, proxy.GRPC(p.tls, false), p.bench.daemon.GRPCAddress())
	default:
		return p.followXDS(ctx)
	}
}

// dial counts what the connection reads.
func (p *benchProxy) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, read: &p.bench.bytesRead}, nil
}

// followLine reads and acknowledges on a line of the testbed's joiners.
func (p *benchProxy) followLine(ctx context.Context, join proxy.Joiner, address string) error {
	line, _, err := join(ctx, p.dial, address, &wire.Hello{Version: 1, Proxy: p.name, Zone: p.zone, Rate: 2})
	if err != nil {
		return err
	}
	defer line.Close()
	defer context.AfterFunc(ctx, line.Close)()
	for {
		m, err := line.Read(time.Minute)
		if err != nil {
			return nil //nolint:nilerr // the benchmark is over
		}
		if commands, ok := m.(*wire.Commands); ok {
			p.bench.seen.add(p.name, len(commands.Ops))
			acknowledge(line, commands.Ops)
		}
		_ = line.Write(&wire.Heartbeat{LastProcessed: line.Last()}, time.Second) // a broken stream shows at the next read
	}
}

// followXDS asks for the assignments of one request class and acknowledges them.
func (p *benchProxy) followXDS(ctx context.Context) error {
	conn, err := p.dialXDS()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the benchmark is over
	stream, err := ads.NewAggregatedDiscoveryServiceClient(conn).StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	request := &ads.DiscoveryRequest{
		Node:          &core.Node{Id: p.name, Locality: &core.Locality{Zone: p.zone}},
		ResourceNames: []string{"read"},
		TypeUrl:       "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
	}
	for {
		if err := stream.Send(request); err != nil {
			return nil //nolint:nilerr // the benchmark is over
		}
		response, err := stream.Recv()
		if err != nil {
			return nil //nolint:nilerr // the benchmark is over
		}
		p.bench.seen.add(p.name, manyEndpoints/len(zones))
		request = &ads.DiscoveryRequest{
			TypeUrl:       request.TypeUrl,
			ResourceNames: request.ResourceNames,
			VersionInfo:   response.VersionInfo,
			ResponseNonce: response.Nonce,
		}
	}
}

func (p *benchProxy) dialXDS() (*grpc.ClientConn, error) {
	creds := insecure.NewCredentials()
	if p.tls != nil {
		creds = credentials.NewTLS(p.tls)
	}
	const maxMessageBytes = 16 << 20
	return grpc.NewClient("passthrough:///"+p.bench.daemon.GRPCAddress(),
		grpc.WithTransportCredentials(creds),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) { return p.dial(ctx, "tcp", a) }),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
}

// countedConn counts what a connection reads.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read counts.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}
