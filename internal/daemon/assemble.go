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
		d.endpointSource = discovery.NewStream(cfg.Name, cfg.ListAddress, d.options.Dial, lateLoop{d}, cfg.ListSilence, log)
		return
	}
	d.endpointSource = discovery.NewFile(cfg.ListFile, config.ReadList, lateLoop{d}, log)
}

// coreOptions returns a core's options, with a new planner.
func (d *Daemon) coreOptions(cfg *config.Pilot) controller.Plan {
	settings := cfg.ForModule(cfg.Rank)
	log := d.options.Log
	return controller.Plan{
		Decider:        d.options.Decide(int64(cfg.Seed), settings),
		Terms:          settings,
		Zones:          cfg.Zones,
		Machines:       cfg.Machines,
		Kinds:          cfg.KindNames(),
		LinesPerS:      cfg.LinesPerS,
		Backlog:        cfg.Backlog,
		HeadLines:      cfg.HeadLines,
		MessagesMost:   cfg.MessagesMost,
		MessagesOverMs: float64(cfg.MessagesOver.Milliseconds()),
		Intake:         cfg.Intake(),
		MostProxies:    cfg.MostProxies,
		List:           d.endpointSource,
		Prober:         d.proberForCore(),
		Peers:          d.peersForCore(),
		Log:            func(text string) { log.Info(text, zap.String("by", "module")) },
		Odd:            func(what string, fields ...string) { log.Warn(what, zap.Strings("about", fields)) },
		Meter:          d.metrics,
	}
}
