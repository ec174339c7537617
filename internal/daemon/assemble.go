package daemon

import (
	"context"

	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/transport/discovery"
)

// assemble puts the controller together, step by step. After an error New closes what stands by then.
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

// lateLoop passes inputs on to the loop, which is made after the transports that need it.
type lateLoop struct{ d *Daemon }

// Post passes an input on; the loop is there once anything runs.
func (l lateLoop) Post(ctx context.Context, in controller.Input) error { return l.d.loop.Post(ctx, in) }

// followEndpointList makes the source of the endpoint list: a stream from a server, or a file.
func (d *Daemon) followEndpointList(cfg *config.Pilot) {
	log := d.options.Log.Named("list")
	if cfg.ListAddress != "" {
		d.endpointSource = discovery.NewStream(cfg.Name, cfg.ListAddress, d.options.Dial, lateLoop{d}, cfg.ListSilence,
			log)
		return
	}
	d.endpointSource = discovery.NewFile(cfg.ListFile, config.ReadList, lateLoop{d}, log)
}

// coreOptions returns a core's options, with a new planner.
func (d *Daemon) coreOptions(cfg *config.Pilot) controller.Options {
	settings := cfg.PlannerSettings(cfg.Rank)
	log := d.options.Log
	return controller.Options{
		Decider:         d.options.Decide(int64(cfg.Seed), settings),
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
		HealthChecker:   d.proberForCore(),
		Gossip:          d.peersForCore(),
		Log:             func(text string) { log.Info(text, zap.String("source", "planner")) },
		Malformed:       func(what string, fields ...string) { log.Warn(what, zap.Strings("fields", fields)) },
		Metrics:         d.metrics,
	}
}
