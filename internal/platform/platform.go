// Package platform runs a pilot on the operators' platform. It connects the planner and the control loop, which are the
// same as in other deployments, to the platform's configuration file (placement), listener, relay and discovery agent.
// The package only assembles these parts; cmd/indigousher starts it.
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

// Pilot is one pilot process on the operators' platform.
type Pilot struct {
	log           *zap.Logger
	initial       *placement.Placement                 // placement at startup; reloads do not change it
	readPlacement func() (*placement.Placement, error) // reads the placement again, for reloads

	loop          *controller.Loop
	listener      *listener.Listener
	sender        *relay.Sender
	events        *relay.EventStream
	relayCounters relay.Counters // shared by sender and events
	discovery     *discovery.Client
}

// New returns a pilot that is idle until Run is called. Each reload calls readPlacement to read the placement again.
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

// loopInbox forwards inputs to the control loop. The relay, listener and discovery clients need an inbox before the
// loop is created, so loop is set afterwards.
type loopInbox struct{ loop *controller.Loop }

// Post delivers an input to the control loop.
func (b *loopInbox) Post(ctx context.Context, in controller.Input) error { return b.loop.Post(ctx, in) }

// Run opens the listening socket and runs all parts of the pilot until ctx is cancelled or one of them fails. It
// returns after every part has returned. Each value received from reload triggers a reload of the placement.
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
