// Package platform runs the pilot on the operators' platform: the same module and loop as elsewhere, with the platform's
// configuration, listener, relay and discovery around it. It wires and decides nothing; cmd/indigousher calls it.
package platform

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/brain"
	"indigousher/internal/edge/peers"
	"indigousher/internal/edge/probe"
	"indigousher/internal/pilot"
	"indigousher/internal/platform/agent"
	"indigousher/internal/platform/config"
	"indigousher/internal/platform/listener"
	"indigousher/internal/platform/relay"
)

// Figures of the pilot's own.
const (
	memoryLimitShare  = 0.6 // of the limit: what the runtime aims to stay under
	reservedSockets   = 16  // descriptors for all that is not the listener
	unidentifiedShare = 0.4 // of the other descriptors, for connections that have not joined
	reportInterval    = 10 * time.Second
	rereadInterval    = 100 * time.Millisecond // a file that is wrong may be being written: it is read again
	maxRereads        = 30                     // times
)

// Pilot is one pilot on the platform.
type Pilot struct {
	log       *zap.Logger
	placement *config.Placement
	loop      *pilot.Loop
	listener  *listener.Listener
	orders    *relay.Orders
	events    *relay.Events
	agent     *agent.Agent
	counters  relay.Counters
	reread    func() (*config.Placement, error)
}

// New puts a pilot together. Reread reads the configuration again.
func New(p *config.Placement, reread func() (*config.Placement, error), log *zap.Logger) *Pilot {
	x := &Pilot{log: log, placement: p, reread: reread}
	kinds := p.Deployment.Kinds.All()
	box := &inbox{}
	x.orders = relay.NewOrders(p.Relay.Address, kinds, box, &x.counters, log)
	x.agent = agent.New(p.Discovery, !p.OnRequest, box, log)
	x.events = relay.NewEvents(p.Relay.Address, box, &x.counters, log)
	spare := float64(p.Limits.Sockets - reservedSockets)
	x.listener = listener.New(p.Deployment.Zones.All(), int(spare*unidentifiedShare), box, log)
	core := pilot.NewCore(pilot.Plan{Decider: brain.New(p.Seed, p.Deployment.Terms), Terms: p.Deployment.Terms,
		Zones: p.Deployment.Zones.All(), Machines: p.Deployment.Machines.All(), Kinds: kinds, MostProxies: p.Proxies,
		List: x.agent, Prober: probe.Never{}, Peers: peers.Nobody{}, Relay: x.orders,
		Log: func(text string) { log.Info(text) }, Odd: func(what string, fields ...string) {
			log.Debug("odd", zap.String("what", what), zap.Strings("fields", fields))
		}})
	x.loop = pilot.NewLoop(core, pilot.RealClock{}, log)
	box.loop = x.loop
	return x
}

// inbox is the loop, which is made after those who post to it.
type inbox struct{ loop *pilot.Loop }

// Post hands an input to the loop.
func (b *inbox) Post(ctx context.Context, in pilot.Input) error { return b.loop.Post(ctx, in) }

// Run listens and runs until ctx ends.
func (x *Pilot) Run(ctx context.Context, reload <-chan struct{}) error {
	l, err := net.Listen("tcp", x.placement.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if known := x.placement.Remembered; known != nil {
		if err := x.loop.Post(ctx, pilot.Listed{List: known, Remembered: true}); err != nil {
			return err
		}
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return x.loop.Run(ctx) })
	g.Go(func() error { return x.listener.Serve(ctx, l) })
	g.Go(func() error { return x.orders.Run(ctx) })
	for i := range relay.Subscriptions {
		g.Go(func() error { return x.events.Run(ctx, i) })
	}
	g.Go(func() error { return x.agent.Run(ctx) })
	g.Go(func() error { return x.superviseReloads(ctx, reload) })
	return g.Wait()
}
