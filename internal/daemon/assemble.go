package daemon

import (
	"context"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/transport/discovery"
)

// assemble creates the parts of the controller in dependency order. If it returns an error, New closes the parts that
// were already created.
func (d *Daemon) assemble(cfg *config.Pilot) error {
	if err := d.loadKeys(cfg); err != nil {
		return err
	}
	if err := d.listenForProxies(cfg); err != nil {
		return err
	}
	if err := d.listenForOperators(cfg); err != nil {
		return err
	}
	d.followEndpointList(cfg)
	if err := d.openGossip(cfg); err != nil {
		return err
	}
	d.startHealthChecks(cfg)
	if err := d.buildCore(cfg); err != nil {
		return err
	}
	if err := d.openGRPC(cfg); err != nil {
		return err
	}
	d.openFramed(cfg)
	return nil
}

// deferredLoop forwards inputs to the control loop. The transports need a destination for their inputs when they are
// created, but the loop is created after them.
type deferredLoop struct{ d *Daemon }

// Post forwards an input to the loop. It must not be called before buildCore has created the loop; the transports
// produce no inputs until Run starts them.
func (l deferredLoop) Post(ctx context.Context, in controller.Input) error {
	return l.d.loop.Post(ctx, in)
}

// followEndpointList creates the source of the endpoint list: a stream from a server if the configuration has a server
// address, otherwise a watched file.
func (d *Daemon) followEndpointList(cfg *config.Pilot) {
	log := d.options.Log.Named("list")
	if cfg.ListAddress != "" {
		d.endpointSource = discovery.NewStream(cfg.Name, cfg.ListAddress, d.options.Dial, deferredLoop{d}, cfg.ListSilence,
			log)
		return
	}
	d.endpointSource = discovery.NewFile(cfg.ListFile, config.ReadList, deferredLoop{d}, log)
}

// coreOptions returns the options for a controller core, including a newly created planner.
func (d *Daemon) coreOptions(cfg *config.Pilot) controller.Options {
	settings := cfg.PlannerSettings(cfg.Rank)
	log := d.options.Log
	return controller.Options{
		Decider:         d.options.NewPlanner(int64(cfg.Seed), settings),
		Settings:        settings,
		Zones:           cfg.Zones,
		Machines:        cfg.Machines,
		Classes:         cfg.ClassNames(),
		LinesPerS:       cfg.LinesPerS,
		Backlog:         cfg.Backlog,
		MessageOverhead: cfg.HeadLines,
		MaxMessages:     cfg.MessagesMost,
		MessageWindowMs: float64(cfg.MessagesOver.Milliseconds()),
		Telemetry:       cfg.TelemetryOptions(),
		MaxProxies:      cfg.MostProxies,
		EndpointSource:  d.endpointSource,
		HealthChecker:   d.healthCheckerForCore(),
		Gossip:          d.gossipForCore(),
		Log:             func(text string) { log.Info(text, zap.String("source", "planner")) },
		Malformed:       func(what string, fields ...string) { log.Warn(what, zap.Strings("fields", fields)) },
		Metrics:         d.metrics,
	}
}
