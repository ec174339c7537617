// Package platform runs the pilot on the operators' platform: the planner and controller loop as elsewhere, connected
// to the platform's placement, listener, relay and discovery. It only assembles; cmd/indigousher calls it.
package platform

import (
	"context"
	"fmt"
	"net"

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

// Pilot is one pilot on the platform.
type Pilot struct {
	log           *zap.Logger
	initial       *placement.Placement                 // of the start, not changed by reloads
	readPlacement func() (*placement.Placement, error) // reads the current placement

	loop          *controller.Loop
	listener      *listener.Listener
	sender        *relay.Sender
	events        *relay.EventStream
	relayCounters relay.Counters // shared by sender and events
	discovery     *discovery.Client
}

// New assembles a pilot. It does nothing before Run. readPlacement reads the current placement, for reloads.
func New(initial *placement.Placement, readPlacement func() (*placement.Placement, error), log *zap.Logger) *Pilot {
	p := &Pilot{log: log, initial: initial, readPlacement: readPlacement}
	deployment := initial.Deployment
	classes := deployment.Classes.All()
	zones := deployment.Zones.All()
	inbox := &loopInbox{}
	p.sender = relay.NewSender(initial.Relay.Address, classes, inbox, &p.relayCounters, log)
	p.discovery = discovery.New(initial.Discovery, !initial.OnRequest, inbox, log)
	p.events = relay.NewEventStream(initial.Relay.Address, inbox, &p.relayCounters, log)
	p.listener = listener.New(zones, maxUnidentified(initial.Limits), inbox, log)
	core := controller.NewCore(controller.Options{
		Decider:        planner.New(initial.Seed, deployment.Settings),
		Settings:       deployment.Settings,
		Zones:          zones,
		Machines:       deployment.Machines.All(),
		Classes:        classes,
		MaxProxies:     initial.MaxProxies,
		EndpointSource: p.discovery,
		HealthChecker:  healthcheck.Disabled{},
		Gossip:         gossip.Disabled{},
		Relay:          p.sender,
		Log:            func(text string) { log.Info(text) },
		Malformed: func(what string, fields ...string) {
			log.Debug("malformed input ignored", zap.String("reason", what), zap.Strings("fields", fields))
		},
	})
	p.loop = controller.NewLoop(core, controller.RealClock{}, log)
	inbox.loop = p.loop
	return p
}

// loopInbox forwards to the loop, which is created after those that post to it.
type loopInbox struct{ loop *controller.Loop }

// Post posts an input to the loop.
func (b *loopInbox) Post(ctx context.Context, in controller.Input) error { return b.loop.Post(ctx, in) }

// Run listens and runs until ctx ends or a part fails; all parts have returned then. A value on reload triggers a
// reload of the placement.
func (p *Pilot) Run(ctx context.Context, reload <-chan struct{}) error {
	socket, err := net.Listen("tcp", p.initial.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if known := p.initial.Cached; known != nil {
		if err := p.loop.Post(ctx, controller.EndpointsListed{List: known, Cached: true}); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.loop.Run(ctx) })
	group.Go(func() error { return p.listener.Serve(ctx, socket) })
	group.Go(func() error { return p.sender.Run(ctx) })
	for i := range relay.SubscriptionCount {
		group.Go(func() error { return p.events.Run(ctx, i) })
	}
	group.Go(func() error { return p.discovery.Run(ctx) })
	group.Go(func() error { return p.supervise(ctx, reload) })
	return group.Wait()
}
