package daemon

import (
	"context"

	"indigousher/internal/config"
	"indigousher/internal/transport/framed"
	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/transport/xds"
)

// linesPerQueueSlot converts the configured queue length, in messages, to the queue length of gRPC streams, in lines. A
// message holds about this many lines.
const linesPerQueueSlot = 100

// openFramed creates the server for the framed protocol.
func (d *Daemon) openFramed(cfg *config.Pilot) {
	d.framedServer = framed.NewServer(framed.ListenerConfig{
		Pilot:             cfg.Name,
		HeartbeatInterval: cfg.Beat,
		ReportInterval:    cfg.Period,
		WriteTimeout:      cfg.WriteDeadline,
		AckTimeout:        cfg.SeenWithin,
		HelloTimeout:      cfg.HelloDeadline,
		MaxFrameBytes:     cfg.MaxFrame,
		MaxStreams:        cfg.MaxStreams,
		MaxQueuedMessages: cfg.Queue,
	}, d.loop, d.options.Log.Named("streams"))
}

// openGRPC opens the gRPC listener and creates the gRPC and xDS servers. It does nothing if no address is configured.
func (d *Daemon) openGRPC(cfg *config.Pilot) error {
	if cfg.GRPC == "" {
		return nil
	}
	if err := d.listenForGRPC(cfg); err != nil {
		return err
	}
	d.grpcServer = grpcapi.New(grpcapi.ListenerConfig{
		Pilot:             cfg.Name,
		HeartbeatInterval: cfg.Beat,
		ReportInterval:    cfg.Period,
		AckTimeout:        cfg.SeenWithin,
		HelloTimeout:      cfg.HelloDeadline,
		MaxMessageBytes:   cfg.MaxFrame,
		MaxStreams:        cfg.MaxStreams,
		MaxQueuedOps:      cfg.Queue * linesPerQueueSlot,
		MaxNewStreamsPerS: cfg.NewPerS,
		Keys:              d.keyStore,
	}, d.loop, d.options.Log.Named("grpc"))
	d.xdsServer = xds.New(xds.ListenerConfig{
		Classes:        cfg.ClassNames(),
		ReportInterval: cfg.Period,
		AckTimeout:     cfg.SeenWithin,
		HelloTimeout:   cfg.HelloDeadline,
		MaxStreams:     cfg.MaxStreams,
		CheckIdentity:  d.identityChecker(),
	}, d.loop, d.options.Log.Named("xds"))
	d.xdsServer.Register(d.grpcServer.Registrar())
	return nil
}

// identityChecker returns a function that checks the name and zone claimed by an xDS proxy against its certificate. It
// returns nil if there are no keys, because there are then no certificates to check against.
func (d *Daemon) identityChecker() func(ctx context.Context, proxy, zone string) error {
	if d.keyStore == nil {
		return nil
	}
	return grpcapi.CheckIdentity
}
