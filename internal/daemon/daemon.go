// Package daemon puts a pilot together from its terms: the module, the runtime and the edges, their listeners and
// their end. It decides nothing; cmd/indigousher and the rehearsal start pilots through it.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/transport/admin"
	"indigousher/internal/transport/discovery"
	"indigousher/internal/transport/framed"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/transport/healthcheck"
	"indigousher/internal/transport/xds"
	"indigousher/planner"
)

// Figures of the daemon's own.
const (
	probeTimeout = time.Second
	mostProbes   = 64
	stopStep     = 20 * time.Millisecond
	linesEach    = 100 // lines that one place in a stream's queue stands for
	warnBefore   = 7 * 24 * time.Hour
)

// Options is what a pilot is started with beside its terms. Zero fields get what ships.
type Options struct {
	Log    *zap.Logger
	Level  *zap.AtomicLevel // set by a reload
	Clock  controller.Clock
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Packet func(net.PacketConn) net.PacketConn // wraps the socket between pilots
	Decide func(seed int64, terms map[string]any) controller.Decider
	// Listeners that were taken over, by the names that Files gives; others are opened.
	Listeners map[string]net.Listener
}

// listen takes a listener that was handed over, or opens one.
func (o *Options) listen(name, address string) (net.Listener, error) {
	if l := o.Listeners[name]; l != nil {
		return l, nil
	}
	return net.Listen("tcp", address)
}

func (o *Options) fill() {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = controller.RealClock{}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	if o.Packet == nil {
		o.Packet = func(c net.PacketConn) net.PacketConn { return c }
	}
	if o.Decide == nil {
		o.Decide = func(seed int64, terms map[string]any) controller.Decider { return planner.New(seed, terms) }
	}
}

// follower is a list source that runs.
type follower interface {
	controller.EndpointSource
	Run(ctx context.Context) error
}

// Daemon is one pilot.
type Daemon struct {
	terms    atomic.Pointer[config.Pilot]
	outfit   Options
	registry *prometheus.Registry
	meter    *controller.Metrics
	core     *controller.Core
	record   *recorded
	loop     *controller.Loop
	server   *framed.Server
	source   follower
	prober   *healthcheck.Checker
	post     *gossip.Service
	follow   *grpcapi.Server
	xds      *xds.Server
	ring     *identity.KeyStore
	streams  net.Listener
	grpc     net.Listener
	admin    net.Listener
	files    map[string]*os.File
	life     context.Context
	die      context.CancelFunc
	killed   atomic.Bool
}

// later passes inputs on to the loop, which is made after the edges that need it.
type later struct{ d *Daemon }

func (l later) Post(ctx context.Context, in controller.Input) error { return l.d.loop.Post(ctx, in) }

// New opens the listeners and builds the pilot. Nothing runs before Run.
func New(t *config.Pilot, o Options) (*Daemon, error) {
	o.fill()
	d := &Daemon{outfit: o, registry: prometheus.NewRegistry(), files: map[string]*os.File{}}
	d.terms.Store(t)
	d.meter = controller.NewMetrics(d.registry)
	d.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.life, d.die = context.WithCancel(context.Background())
	if err := d.open(t); err != nil {
		if d.record != nil {
			err = errors.Join(err, d.record.close())
		}
		d.close()
		return nil, err
	}
	return d, nil
}

func (d *Daemon) open(t *config.Pilot) (err error) {
	if err := d.openKeys(t); err != nil {
		return err
	}
	if d.streams, err = d.outfit.listen("streams", t.Listen); err != nil {
		return fmt.Errorf("listen for proxies: %w", err)
	}
	if err := d.keep("streams", d.streams); err != nil {
		return err
	}
	if d.ring != nil {
		d.streams = tls.NewListener(d.streams, d.ring.Server(identity.Proxy))
		d.outfit.Dial = d.sealed(d.outfit.Dial)
	}
	if t.Admin != "" {
		if d.admin, err = d.outfit.listen("admin", t.Admin); err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		if err := d.keep("admin", d.admin); err != nil {
			return err
		}
	}
	if t.ListAddress != "" {
		d.source = discovery.NewStream(t.Name, t.ListAddress, d.outfit.Dial, later{d}, t.ListSilence, d.outfit.Log.Named("list"))
	} else {
		d.source = discovery.NewFile(t.ListFile, config.ReadList, later{d}, d.outfit.Log.Named("list"))
	}
	notes, err := d.openPeers(t)
	if err != nil {
		return err
	}
	var prober controller.HealthChecker = healthcheck.Disabled{}
	if t.Probing {
		d.prober = healthcheck.New(d.life, d.outfit.Dial, later{d}, probeTimeout, mostProbes)
		prober = d.prober
	}
	log := d.outfit.Log
	plan := func(told map[string]any) controller.Options {
		return controller.Options{Decider: d.outfit.Decide(int64(t.Seed), told), Settings: told, Zones: t.Zones,
			Machines: t.Machines, Classes: t.ClassNames(), LinesPerS: t.LinesPerS, Backlog: t.Backlog, HeadLines: t.HeadLines,
			MaxMessages: t.MessagesMost, MessagesOverMs: float64(t.MessagesOver.Milliseconds()),
			Telemetry: t.TelemetryOptions(), MaxProxies: t.MostProxies, EndpointSource: d.source, HealthChecker: prober, Gossip: notes,
			Log:       func(text string) { log.Info(text, zap.String("by", "module")) },
			Malformed: func(what string, fields ...string) { log.Warn(what, zap.Strings("about", fields)) },
			Metrics:   d.meter}
	}
	live := plan(t.PlannerSettings(t.Rank))
	var offset float64
	if t.RecordDir != "" {
		var core *controller.Core
		core, offset, err = d.openRecord(t, &live, func() controller.Options { return held(plan(t.PlannerSettings(t.Rank))) })
		if err != nil {
			return err
		}
		if core != nil {
			core.FinishRecovery(live)
			d.core = core
		}
	}
	if d.core == nil {
		d.core = controller.NewCore(live)
	}
	d.loop = controller.NewLoop(d.core, d.outfit.Clock, log)
	if offset > 0 {
		d.loop.ResumeAt(offset)
	}
	if t.GRPC != "" {
		if d.grpc, err = d.outfit.listen("grpc", t.GRPC); err != nil {
			return fmt.Errorf("listen for gRPC: %w", err)
		}
		if err := d.keep("grpc", d.grpc); err != nil {
			return err
		}
		d.grpc = netutil.LimitListener(d.grpc, 2*t.MaxStreams) // a proxy of xDS may report its load on a second one
		d.follow = grpcapi.New(grpcapi.ListenerConfig{Pilot: t.Name, Beat: t.Beat, Period: t.Period,
			SeenWithin: t.SeenWithin, HelloIn: t.HelloDeadline, MaxMessage: t.MaxFrame, MaxStreams: t.MaxStreams,
			QueueLines: t.Queue * linesEach, NewPerS: t.NewPerS, Keys: d.ring}, d.loop, log.Named("grpc"))
		var claims func(context.Context, string, string) error
		if d.ring != nil {
			claims = grpcapi.Claims
		}
		d.xds = xds.New(xds.ListenerConfig{Kinds: t.ClassNames(), Period: t.Period, SeenWithin: t.SeenWithin,
			HelloIn: t.HelloDeadline, MaxStreams: t.MaxStreams, Claims: claims}, d.loop, log.Named("xds"))
		d.xds.Register(d.follow.Registrar())
	}
	d.server = framed.NewServer(framed.ListenerConfig{Pilot: t.Name, Beat: t.Beat, Period: t.Period,
		WriteDeadline: t.WriteDeadline, SeenWithin: t.SeenWithin, HelloDeadline: t.HelloDeadline, MaxFrame: t.MaxFrame,
		MaxStreams: t.MaxStreams, Queue: t.Queue}, d.loop, log.Named("streams"))
	return nil
}

// openKeys loads the keys, if the terms name any, and shows when they end.
func (d *Daemon) openKeys(t *config.Pilot) (err error) {
	if t.Plain {
		return nil
	}
	log := d.outfit.Log.Named("keys")
	if d.ring, err = identity.Load(t.Keys, func(from net.Addr, err error) {
		log.Warn("peer not let in", zap.Stringer("from", from), zap.Error(err))
	}); err != nil {
		return err
	}
	if i := d.ring.Identity(); i.Role != identity.Pilot || i.Name != t.Name || i.Zone != t.Zone {
		return fmt.Errorf("keys: the certificate is of %s, this is pilot %s of %s", i, t.Name, t.Zone)
	}
	return d.registry.Register(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "indigousher",
		Name: "certificate_expires_in_seconds", Help: "Time until this pilot's certificate ends."},
		func() float64 { return time.Until(d.ring.Expires()).Seconds() }))
}

// sealed dials under TLS those who hold the list; endpoints are probed in plain text, as their proxies speak to them.
func (d *Daemon) sealed(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil || address != d.terms.Load().ListAddress {
			return conn, err
		}
		return tls.Client(conn, d.ring.Client(identity.Source)), nil
	}
}

// watchKeys warns of keys that end soon and of files that can't be read.
func (d *Daemon) watchKeys(ctx context.Context) error {
	tick := time.NewTicker(time.Minute)
	defer tick.Stop()
	for {
		if left := time.Until(d.ring.Expires()); left < warnBefore {
			d.outfit.Log.Warn("certificate ends soon", zap.Duration("in", left.Round(time.Second)))
		}
		if err := d.ring.Err(); err != nil {
			d.outfit.Log.Error("keys can't be read anew, the old ones stand", zap.Error(err))
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// held is a plan whose edges do nothing: for a core that is being rebuilt.
func held(p controller.Options) controller.Options {
	p.EndpointSource, p.HealthChecker, p.Gossip, p.Metrics, p.Replayed = nobody{}, healthcheck.Disabled{}, gossip.Disabled{}, nil, true
	p.Log, p.Malformed = func(string) {}, func(string, ...string) {}
	p.LinesPerS, p.Backlog = 0, 0
	return p
}

// nobody is a list source that is not asked.
type nobody struct{}

func (nobody) Watch(bool) {}
func (nobody) Fetch()     {}

func (d *Daemon) openPeers(t *config.Pilot) (controller.GossipSender, error) {
	if t.PeersListen == "" {
		return gossip.Disabled{}, nil
	}
	var secret *identity.Secret
	if t.PeersSecret != "" {
		var err error
		if secret, err = identity.LoadSecret(t.PeersSecret); err != nil {
			return nil, fmt.Errorf("listen for pilots: %w", err)
		}
	}
	conn, err := net.ListenPacket("udp", t.PeersListen)
	if err != nil {
		return nil, fmt.Errorf("listen for pilots: %w", err)
	}
	ranks := map[int]string{}
	for r, a := range t.Peers {
		n, _ := strconv.Atoi(r) // checked with the terms
		ranks[n] = a
	}
	if d.post, err = gossip.Open(d.outfit.Packet(conn), t.Rank, ranks, later{d}, d.outfit.Log.Named("peers")); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	d.post.Secret = secret
	return d.post, nil
}

func (d *Daemon) close() {
	d.die()
	for _, l := range []net.Listener{d.streams, d.grpc, d.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// keep holds a second handle on a listener where it may be handed over: what dials while nobody accepts waits there.
func (d *Daemon) keep(name string, l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || d.terms.Load().Handover == "" {
		return nil
	}
	f, err := tcp.File()
	if err != nil {
		return fmt.Errorf("keep listener: %w", err)
	}
	d.files[name] = f
	return nil
}

// Files returns handles on the listeners, by name. They stay open when the daemon ends; who has them closes them.
func (d *Daemon) Files() map[string]*os.File { return d.files }

// Address returns where proxies join.
func (d *Daemon) Address() string { return d.streams.Addr().String() }

// GRPCAddress returns where proxies join over gRPC, or nothing.
func (d *Daemon) GRPCAddress() string {
	if d.grpc == nil {
		return ""
	}
	return d.grpc.Addr().String()
}

// AdminAddress returns where operators ask, or nothing.
func (d *Daemon) AdminAddress() string {
	if d.admin == nil {
		return ""
	}
	return d.admin.Addr().String()
}

// State returns what the loop shows of itself.
func (d *Daemon) State() controller.State { return d.loop.State() }

// Metrics returns the runtime's metrics.
func (d *Daemon) Metrics() *controller.Metrics { return d.meter }

// Run serves until ctx ends, then asks the proxies to dial elsewhere and waits for them to go, for the time that the
// terms give. An edge that fails ends it with an error.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	g, life := errgroup.WithContext(d.life)
	serve, stopServing := context.WithCancel(life)
	defer stopServing()
	g.Go(func() error { return d.loop.Run(life) })
	g.Go(func() error { return d.source.Run(life) })
	g.Go(func() error { return d.server.Serve(serve, d.streams) })
	if d.follow != nil {
		g.Go(func() error { return d.follow.Serve(serve, d.grpc) })
	}
	if d.ring != nil {
		g.Go(func() error { return d.watchKeys(life) })
	}
	if d.record != nil {
		g.Go(func() error { return d.record.writer.Run(life) })
	}
	if d.post != nil {
		g.Go(func() error { return d.post.Run(life) })
	}
	if d.admin != nil {
		g.Go(func() error { return admin.Serve(life, d.admin, d.registry, d.loop.State) })
	}
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-life.Done():
			return nil
		}
		d.outfit.Log.Info("stopping", zap.Int("proxies", d.streaming()))
		stopServing()
		if d.xds != nil {
			d.xds.Stop()
		}
		d.waitEmpty(life)
		d.die()
		return nil
	})
	err := g.Wait()
	if d.record != nil {
		err = errors.Join(err, d.record.close())
	}
	if d.prober != nil {
		d.prober.Wait()
	}
	if d.killed.Load() {
		return nil
	}
	return err
}

func (d *Daemon) waitEmpty(ctx context.Context) {
	end := time.NewTimer(d.terms.Load().DrainOnStop)
	defer end.Stop()
	look := time.NewTicker(stopStep)
	defer look.Stop()
	for d.streaming() > 0 {
		select {
		case <-look.C:
		case <-end.C:
			d.killStreams()
			return
		case <-ctx.Done():
			return
		}
	}
}

// Kill ends the pilot as the end of its process would: all sockets close at once and nobody is told.
func (d *Daemon) Kill() {
	d.killed.Store(true)
	_ = d.streams.Close()
	d.killStreams()
	d.die()
}

// streaming returns how many streams are open, over all transports.
func (d *Daemon) streaming() int {
	n := d.server.Streams()
	if d.follow != nil {
		n += d.follow.Streams() + d.xds.Streams()
	}
	return n
}

func (d *Daemon) killStreams() {
	d.server.Kill()
	if d.follow != nil {
		d.follow.Kill()
	}
}

// Reload takes over what may change of new terms and returns what does so at once and what wants a restart. The
// fields that want one keep their old values.
func (d *Daemon) Reload(ctx context.Context, now *config.Pilot) (changed, restart []string, err error) {
	changed, restart = config.Reload(d.terms.Load(), now)
	if len(changed) == 0 {
		return nil, restart, nil
	}
	if err := d.loop.Post(ctx, controller.SettingsChanged{Settings: now.ReloadableSettings()}); err != nil {
		return nil, nil, fmt.Errorf("reload: %w", err)
	}
	if d.outfit.Level != nil {
		if l, err := zap.ParseAtomicLevel(now.LogLevel); err == nil {
			d.outfit.Level.SetLevel(l.Level())
		}
	}
	d.terms.Store(config.Merge(d.terms.Load(), now))
	if d.record != nil {
		if err := d.record.reterm(d.terms.Load()); err != nil {
			d.outfit.Log.Error("terms not recorded; a return will start cold", zap.Error(err))
		}
	}
	return changed, restart, nil
}
