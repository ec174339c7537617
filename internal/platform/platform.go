// Package platform runs the pilot on the operators' platform: the same module and loop as elsewhere, with the platform's
// configuration, listener, relay and discovery around it. It wires and decides nothing; cmd/indigousher calls it.
package platform

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/controller"
	"indigousher/internal/platform/discovery"
	"indigousher/internal/platform/listener"
	"indigousher/internal/platform/placement"
	"indigousher/internal/platform/relay"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/healthcheck"
	"indigousher/planner"
)

// Figures of the pilot's own.
const (
	memoryPart = 0.6 // of the limit: what the runtime aims to stay under
	ownSockets = 16  // descriptors for all that is not the listener
	strangers  = 0.4 // of the other descriptors, for connections that have not joined
	countEvery = 10 * time.Second
	rereadEach = 100 * time.Millisecond // a file that is wrong may be being written: it is read again
	rereadMost = 30                     // times
)

// Pilot is one pilot on the platform.
type Pilot struct {
	log       *zap.Logger
	placement *placement.Placement
	loop      *controller.Loop
	listener  *listener.Listener
	orders    *relay.Sender
	events    *relay.EventStream
	agent     *discovery.Client
	counters  relay.Counters
	reread    func() (*placement.Placement, error)
}

// Limit sets the runtime to what the machine gives.
func Limit(l placement.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB * memoryPart * (1 << 20)))
}

// New puts a pilot together. Reread reads the configuration again.
func New(p *placement.Placement, reread func() (*placement.Placement, error), log *zap.Logger) *Pilot {
	x := &Pilot{log: log, placement: p, reread: reread}
	kinds := p.Deployment.Classes.All()
	box := &inbox{}
	x.orders = relay.NewSender(p.Relay.Address, kinds, box, &x.counters, log)
	x.agent = discovery.New(p.Discovery, !p.OnRequest, box, log)
	x.events = relay.NewEventStream(p.Relay.Address, box, &x.counters, log)
	spare := float64(p.Limits.Sockets - ownSockets)
	x.listener = listener.New(p.Deployment.Zones.All(), int(spare*strangers), box, log)
	core := controller.NewCore(controller.Options{Decider: planner.New(p.Seed, p.Deployment.Settings), Settings: p.Deployment.Settings,
		Zones: p.Deployment.Zones.All(), Machines: p.Deployment.Machines.All(), Classes: kinds, MaxProxies: p.Proxies,
		EndpointSource: x.agent, HealthChecker: healthcheck.Disabled{}, Gossip: gossip.Disabled{}, Relay: x.orders,
		Log: func(text string) { log.Info(text) }, Malformed: func(what string, fields ...string) {
			log.Debug("odd", zap.String("what", what), zap.Strings("fields", fields))
		}})
	x.loop = controller.NewLoop(core, controller.RealClock{}, log)
	box.loop = x.loop
	return x
}

// inbox is the loop, which is made after those who post to it.
type inbox struct{ loop *controller.Loop }

// Post hands an input to the loop.
func (b *inbox) Post(ctx context.Context, in controller.Input) error { return b.loop.Post(ctx, in) }

// Run listens and runs until ctx ends.
func (x *Pilot) Run(ctx context.Context, reload <-chan struct{}) error {
	l, err := net.Listen("tcp", x.placement.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if known := x.placement.Cached; known != nil {
		if err := x.loop.Post(ctx, controller.EndpointsListed{List: known, Cached: true}); err != nil {
			return err
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return x.loop.Run(ctx) })
	g.Go(func() error { return x.listener.Serve(ctx, l) })
	g.Go(func() error { return x.orders.Run(ctx) })
	for i := range relay.Streams {
		g.Go(func() error { return x.events.Run(ctx, i) })
	}
	g.Go(func() error { return x.agent.Run(ctx) })
	g.Go(func() error { return x.watch(ctx, reload) })
	return g.Wait()
}

// watch reloads when told to and prints the counters now and then.
func (x *Pilot) watch(ctx context.Context, reload <-chan struct{}) error {
	t := time.NewTicker(countEvery)
	defer t.Stop()
	again, left := time.NewTimer(rereadEach), 0
	defer again.Stop()
	for {
		select {
		case <-reload:
			if left = rereadMost; x.reload(true) {
				left = 0
			}
			again.Reset(rereadEach)
		case <-again.C:
			if left--; left >= 0 && x.reload(left == 0) {
				left = 0
			}
			if left > 0 {
				again.Reset(rereadEach)
			}
		case <-t.C:
			x.count()
		case <-ctx.Done():
			return nil
		}
	}
}

// reload reads the configuration again and returns whether it could. A wrong one changes nothing.
func (x *Pilot) reload(say bool) bool {
	now, err := x.reread()
	if err != nil {
		if say {
			x.log.Error("reload refused, the old configuration stands", zap.Error(err))
		}
		return false
	}
	x.log.Info("reloaded", zap.String("discovery", now.Discovery), zap.String("relay", now.Relay.Address),
		zap.Strings("want a restart", placement.RequiresRestart(x.placement, now)))
	x.agent.SetAddress(now.Discovery)
	x.orders.SetAddress(now.Relay.Address)
	x.events.SetAddress(now.Relay.Address)
	return true
}

// count prints what is believed beside what crossed the sockets.
func (x *Pilot) count() {
	d, c, a := &x.listener.Counters, &x.counters, &x.agent.Counters
	s := x.loop.State()
	x.log.Info("counted", zap.Int("proxies", s.Proxies), zap.Int("endpoints", s.Endpoints),
		zap.Int("listed", s.ReportStats.Listed), zap.Int("reports taken", s.ReportStats.Reports), zap.Int("odd", s.ReportStats.Malformed),
		zap.Float64("report covers ms", s.ReportStats.SpanMs/float64(max(1, s.ReportStats.Reports))),
		zap.Int64("orders", c.Made.Load()), zap.Int64("taken", c.Taken.Load()), zap.Int64("outdated", c.Outdated.Load()),
		zap.Int64("dropped", c.Dropped.Load()), zap.Int64("uncertain", c.Uncertain.Load()),
		zap.Int64("calls", c.Calls.Load()), zap.Int64("failed", c.Failed.Load()), zap.Int64("probes", c.Probes.Load()),
		zap.Int64("events", c.Events.Load()), zap.Int64("gaps", c.Gaps.Load()),
		zap.Int64("reports", d.Reports.Load()), zap.Int64("spoilt", d.Malformed.Load()),
		zap.Int64("accepted", d.Accepted.Load()), zap.Int64("refused", d.Refused.Load()),
		zap.Int64("silent", d.Silent.Load()), zap.Int64("evicted", d.Evicted.Load()),
		zap.Int64("list calls", a.Calls.Load()), zap.Int64("failed calls", a.Failed.Load()), zap.Int64("lists", a.Lists.Load()),
		zap.Int64("odd entries", a.Malformed.Load()))
}
