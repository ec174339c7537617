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

// BenchmarkTransports compares the transports: the time from a change of the endpoint list until the last proxy has
// received it, and the CPU time and bytes per line, for the proxies and the controller together because they share one
// process. One operation is one change.
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

// transportBench is a controller, its endpoint list server, and proxies that are connected over one transport.
type transportBench struct {
	transport string
	proxies   int // number of proxies
	authority *identity.Authority
	keyDir    string // directory of the certificates; "": no TLS
	source    *registry.Registry
	entries   []wire.Entry
	daemon    *Daemon
	stop      context.CancelFunc
	ended     chan error

	received        *receipts
	bytesRead       atomic.Int64   // by all proxies
	proxyGoroutines sync.WaitGroup // goroutines of the proxies
}

// newTransportBench starts the endpoint list server and the controller, but no proxies.
func newTransportBench(b *testing.B, transport string, proxies int, authority *identity.Authority) *transportBench {
	t := &transportBench{
		transport: transport,
		proxies:   proxies,
		authority: authority,
		source:    registry.New(eventlog.NewLog().Stream("list")),
		entries:   allEndpoints(),
		received:  &receipts{lastReceived: map[string]time.Time{}},
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

// startDaemon starts the controller with practically no limits on the rate and backlog of lines.
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

// issue writes a certificate for an identity to keyDir.
func (t *transportBench) issue(b *testing.B, role identity.Role, zone, name string) identity.Files {
	from := time.Now().Add(-time.Minute)
	files, err := t.authority.Issue(t.keyDir, identity.Identity{Role: role, Zone: zone, Name: name}, from, time.Hour)
	require.NoError(b, err)
	return files
}

// keyStore issues a certificate for an identity and returns a key store that holds it.
func (t *transportBench) keyStore(b *testing.B, role identity.Role, zone, name string) *identity.KeyStore {
	store, err := identity.Load(t.issue(b, role, zone, name), nil)
	require.NoError(b, err)
	return store
}

// run starts the proxies, runs the benchmark and reports its metrics.
func (t *transportBench) run(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	before := heapInUse()
	for i := range t.proxies {
		t.startProxy(ctx, b, i)
	}
	t.awaitAll(b, time.Time{})
	time.Sleep(1500 * time.Millisecond)
	heap := heapInUse() - before
	var all []float64  // ms until received, for each proxy and change
	var last []float64 // ms until the last proxy has received it, for each change
	phase := wire.PhaseReady
	lines := t.received.lines.Load()
	bytesRead := t.bytesRead.Load()
	used := cpuTime()
	for b.Loop() {
		time.Sleep(1200 * time.Millisecond)
		phase = wire.PhaseDraining - phase
		since := time.Now()
		t.source.Put(0, setPhase(t.entries, phase)...)
		took := t.awaitAll(b, since)
		all = append(all, took...)
		last = append(last, slices.Max(took))
	}
	slices.Sort(all)
	slices.Sort(last)
	linesSeen := float64(t.received.lines.Load() - lines)
	b.ReportMetric(all[len(all)/2], "ms-p50")
	b.ReportMetric(last[len(last)/2], "ms-last")
	b.ReportMetric(float64(t.bytesRead.Load()-bytesRead)/linesSeen, "bytes/line")
	b.ReportMetric(float64(cpuTime()-used)/1e3/linesSeen, "cpu-us/line")
	b.ReportMetric(heap/1024/float64(t.proxies), "KB/stream")
	cancel()
	t.proxyGoroutines.Wait()
	t.stop()
	require.NoError(b, <-t.ended)
}

// startProxy starts proxy number i, which stays connected until ctx ends.
func (t *transportBench) startProxy(ctx context.Context, b *testing.B, i int) {
	p := &benchProxy{bench: t, name: fmt.Sprintf("p%d", i), zone: zones[i%3]}
	if t.keyDir != "" {
		p.tls = t.keyStore(b, identity.Proxy, p.zone, p.name).Client(identity.Pilot)
	}
	t.proxyGoroutines.Go(func() {
		if err := p.follow(ctx); err != nil && ctx.Err() == nil {
			assert.NoError(b, err)
		}
	})
}

// awaitAll waits until each proxy has received commands after the time since, and returns the delay of each in ms. It
// fails the benchmark after 30 seconds.
func (t *transportBench) awaitAll(b *testing.B, since time.Time) []float64 {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if took := t.received.after(since); len(took) >= t.proxies {
			return took
		}
	}
	b.Fatalf("%d of %d proxies have received the change", len(t.received.after(since)), t.proxies)
	return nil
}

// heapInUse returns the heap size in bytes after a garbage collection.
func heapInUse() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse)
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // never fails for the calling process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// receipts stores when each proxy last received commands, and counts the lines in all commands.
type receipts struct {
	mu           sync.Mutex           // guards lastReceived
	lastReceived map[string]time.Time // time of the last commands, by proxy name
	lines        atomic.Int64         // lines received by all proxies
}

// add stores that a proxy has received commands with that many lines now.
func (s *receipts) add(name string, lines int) {
	s.lines.Add(int64(lines))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReceived[name] = time.Now()
}

// after returns, for each proxy that has received commands after the time t, the delay from t in ms.
func (s *receipts) after(t time.Time) (took []float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lastReceived := range s.lastReceived {
		if lastReceived.After(t) {
			took = append(took, float64(lastReceived.Sub(t))/float64(time.Millisecond))
		}
	}
	return took
}

// benchProxy is a proxy that connects over the transport of its benchmark.
type benchProxy struct {
	bench *transportBench
	name  string
	zone  string
	tls   *tls.Config // nil: plain text
}

// follow connects to the controller and receives commands. It returns nil when the controller or the benchmark ends.
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

// dial connects to an address and counts the bytes read from the connection.
func (p *benchProxy) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, read: &p.bench.bytesRead}, nil
}

// followLine receives and acknowledges commands on a stream that join opens: framed or gRPC.
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
			p.bench.received.add(p.name, len(commands.Ops))
			acknowledgeMarks(line, commands.Ops)
		}
		_ = line.Write(&wire.Heartbeat{LastProcessed: line.Last()}, time.Second) // if the stream is broken, the next read fails
	}
}

// followXDS subscribes to the assignments of one request class over xDS and acknowledges them.
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
		p.bench.received.add(p.name, manyEndpoints/len(zones))
		request = &ads.DiscoveryRequest{
			TypeUrl:       request.TypeUrl,
			ResourceNames: request.ResourceNames,
			VersionInfo:   response.VersionInfo,
			ResponseNonce: response.Nonce,
		}
	}
}

// dialXDS returns a gRPC client connection to the controller.
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

// countingConn is a connection that counts the bytes read from it.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read reads from the connection and adds the number of bytes to c.read.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}
