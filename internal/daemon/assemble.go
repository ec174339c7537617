package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"indigousher/internal/edge/framed"
	"indigousher/internal/edge/grpcedge"
	"indigousher/internal/edge/list"
	"indigousher/internal/edge/peers"
	"indigousher/internal/edge/probe"
	"indigousher/internal/edge/xdsedge"
	"indigousher/internal/keys"
	"indigousher/internal/pilot"
	"indigousher/internal/terms"
)

// Figures of the daemon's own.
const (
	healthCheckTimeout = time.Second
	maxHealthChecks    = 64
	drainPollInterval  = 20 * time.Millisecond
	linesPerQueueSlot  = 100 // lines that one place in a stream's queue stands for
	expiryWarning      = 7 * 24 * time.Hour
)

func (d *Daemon) assemble(t *terms.Pilot) (err error) {
	if err := d.loadKeys(t); err != nil {
		return err
	}
	if d.streamListener, err = d.options.listen("streams", t.Listen); err != nil {
		return fmt.Errorf("listen for proxies: %w", err)
	}
	if err := d.keepFile("streams", d.streamListener); err != nil {
		return err
	}
	if d.keyStore != nil {
		d.streamListener = tls.NewListener(d.streamListener, d.keyStore.Server(keys.Proxy))
		d.options.Dial = d.withTLS(d.options.Dial)
	}
	if t.Admin != "" {
		if d.adminListener, err = d.options.listen("admin", t.Admin); err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		if err := d.keepFile("admin", d.adminListener); err != nil {
			return err
		}
	}
	if t.ListAddress != "" {
		d.endpointSource = list.NewStream(t.Name, t.ListAddress, d.options.Dial, lateLoop{d}, t.ListSilence, d.options.Log.Named("list"))
	} else {
		d.endpointSource = list.NewFile(t.ListFile, terms.ReadList, lateLoop{d}, d.options.Log.Named("list"))
	}
	notes, err := d.openGossip(t)
	if err != nil {
		return err
	}
	var prober pilot.Prober = probe.Never{}
	if t.Probing {
		d.healthChecker = probe.New(d.running, d.options.Dial, lateLoop{d}, healthCheckTimeout, maxHealthChecks)
		prober = d.healthChecker
	}
	log := d.options.Log
	plan := func(told map[string]any) pilot.Plan {
		return pilot.Plan{Decider: d.options.Decide(int64(t.Seed), told), Terms: told, Zones: t.Zones,
			Machines: t.Machines, Kinds: t.KindNames(), LinesPerS: t.LinesPerS, Backlog: t.Backlog, HeadLines: t.HeadLines,
			MessagesMost: t.MessagesMost, MessagesOverMs: float64(t.MessagesOver.Milliseconds()),
			Intake: t.Intake(), MostProxies: t.MostProxies, List: d.endpointSource, Prober: prober, Peers: notes,
			Log:   func(text string) { log.Info(text, zap.String("by", "module")) },
			Odd:   func(what string, fields ...string) { log.Warn(what, zap.Strings("about", fields)) },
			Meter: d.metrics}
	}
	live := plan(t.ForModule(t.Rank))
	var offset float64
	if t.RecordDir != "" {
		var core *pilot.Core
		core, offset, err = d.openRecord(t, &live, func() pilot.Plan { return replayOptions(plan(t.ForModule(t.Rank))) })
		if err != nil {
			return err
		}
		if core != nil {
			core.Recovered(live)
			d.core = core
		}
	}
	if d.core == nil {
		d.core = pilot.NewCore(live)
	}
	d.loop = pilot.NewLoop(d.core, d.options.Clock, log)
	if offset > 0 {
		d.loop.GoOn(offset)
	}
	if t.GRPC != "" {
		if d.grpcListener, err = d.options.listen("grpc", t.GRPC); err != nil {
			return fmt.Errorf("listen for gRPC: %w", err)
		}
		if err := d.keepFile("grpc", d.grpcListener); err != nil {
			return err
		}
		d.grpcListener = netutil.LimitListener(d.grpcListener, 2*t.MaxStreams) // a proxy of xDS may report its load on a second one
		d.grpcServer = grpcedge.New(grpcedge.Door{Pilot: t.Name, Beat: t.Beat, Period: t.Period,
			SeenWithin: t.SeenWithin, HelloIn: t.HelloDeadline, MaxMessage: t.MaxFrame, MaxStreams: t.MaxStreams,
			QueueLines: t.Queue * linesPerQueueSlot, NewPerS: t.NewPerS, Keys: d.keyStore}, d.loop, log.Named("grpc"))
		var claims func(context.Context, string, string) error
		if d.keyStore != nil {
			claims = grpcedge.Claims
		}
		d.xdsServer = xdsedge.New(xdsedge.Door{Kinds: t.KindNames(), Period: t.Period, SeenWithin: t.SeenWithin,
			HelloIn: t.HelloDeadline, MaxStreams: t.MaxStreams, Claims: claims}, d.loop, log.Named("xds"))
		d.xdsServer.Register(d.grpcServer.Registrar())
	}
	d.framedServer = framed.NewServer(framed.Door{Pilot: t.Name, Beat: t.Beat, Period: t.Period,
		WriteDeadline: t.WriteDeadline, SeenWithin: t.SeenWithin, HelloDeadline: t.HelloDeadline, MaxFrame: t.MaxFrame,
		MaxStreams: t.MaxStreams, Queue: t.Queue}, d.loop, log.Named("streams"))
	return nil
}

// lateLoop passes inputs on to the loop, which is made after the edges that need it.
type lateLoop struct{ d *Daemon }

func (l lateLoop) Post(ctx context.Context, in pilot.Input) error { return l.d.loop.Post(ctx, in) }

// replayOptions is a plan whose edges do nothing: for a core that is being rebuilt.
func replayOptions(p pilot.Plan) pilot.Plan {
	p.List, p.Prober, p.Peers, p.Meter, p.Replayed = disabledSource{}, probe.Never{}, peers.Nobody{}, nil, true
	p.Log, p.Odd = func(string) {}, func(string, ...string) {}
	p.LinesPerS, p.Backlog = 0, 0
	return p
}

// disabledSource is a list source that is not asked.
type disabledSource struct{}

func (disabledSource) Watch(bool) {}

func (disabledSource) Fetch() {}
