package daemon

import (
	"context"

	"indigousher/internal/config"
	"indigousher/internal/transport/framed"
	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/transport/xds"
)

// linesPerQueueSlot converts the framed protocol's queue of messages into gRPC's queue of lines: so many lines are what
// a message holds, about.
const linesPerQueueSlot = 100

// openFramed makes the server of the framed protocol.
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

// openGRPC opens the listener and makes the servers of gRPC and xDS, if the configuration names an address.
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
		CheckIdentity:  d.checkIdentity(),
	}, d.loop, d.options.Log.Named("xds"))
	d.xdsServer.Register(d.grpcServer.Registrar())
	return nil
}

// checkIdentity returns what checks the name and zone that a proxy of xDS claims; nil without keys: nothing can.
func (d *Daemon) checkIdentity() func(ctx context.Context, proxy, zone string) error {
	if d.keyStore == nil {
		return nil
	}
	return grpcapi.CheckIdentity
}
