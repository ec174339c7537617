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
	probeTimeout = time.Second
	mostProbes   = 64
	stopStep     = 20 * time.Millisecond
	linesEach    = 100 // lines that one place in a stream's queue stands for
	warnBefore   = 7 * 24 * time.Hour
)

func (d *Daemon) open(t *terms.Pilot) (err error) {
	if err := d.openKeys(t); err != nil {
		return err
	}
	if d.streams, err = d.outfit.listen("streams", t.Listen); err != nil {
		return fmt.Errorf("listen for proxies: %w", err)
	}
	if err := d.keep("streams", d.streams); err != nil {
		return err
	}
	if d.ring != nil {
		d.streams = tls.NewListener(d.streams, d.ring.Server(keys.Proxy))
		d.outfit.Dial = d.sealed(d.outfit.Dial)
	}
	if t.Admin != "" {
		if d.admin, err = d.outfit.listen("admin", t.Admin); err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
		if err := d.keep("admin", d.admin); err != nil {
			return err
		}
	}
	if t.ListAddress != "" {
		d.source = list.NewStream(t.Name, t.ListAddress, d.outfit.Dial, later{d}, t.ListSilence, d.outfit.Log.Named("list"))
	} else {
		d.source = list.NewFile(t.ListFile, terms.ReadList, later{d}, d.outfit.Log.Named("list"))
	}
	notes, err := d.openPeers(t)
	if err != nil {
		return err
	}
	var prober pilot.Prober = probe.Never{}
	if t.Probing {
		d.prober = probe.New(d.life, d.outfit.Dial, later{d}, probeTimeout, mostProbes)
		prober = d.prober
	}
	log := d.outfit.Log
	plan := func(told map[string]any) pilot.Plan {
		return pilot.Plan{Decider: d.outfit.Decide(int64(t.Seed), told), Terms: told, Zones: t.Zones,
			Machines: t.Machines, Kinds: t.KindNames(), LinesPerS: t.LinesPerS, Backlog: t.Backlog, HeadLines: t.HeadLines,
			MessagesMost: t.MessagesMost, MessagesOverMs: float64(t.MessagesOver.Milliseconds()),
			Intake: t.Intake(), MostProxies: t.MostProxies, List: d.source, Prober: prober, Peers: notes,
			Log:   func(text string) { log.Info(text, zap.String("by", "module")) },
			Odd:   func(what string, fields ...string) { log.Warn(what, zap.Strings("about", fields)) },
			Meter: d.meter}
	}
	live := plan(t.ForModule(t.Rank))
	var offset float64
	if t.RecordDir != "" {
		var core *pilot.Core
		core, offset, err = d.openRecord(t, &live, func() pilot.Plan { return held(plan(t.ForModule(t.Rank))) })
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
	d.loop = pilot.NewLoop(d.core, d.outfit.Clock, log)
	if offset > 0 {
		d.loop.GoOn(offset)
	}
	if t.GRPC != "" {
		if d.grpc, err = d.outfit.listen("grpc", t.GRPC); err != nil {
			return fmt.Errorf("listen for gRPC: %w", err)
		}
		if err := d.keep("grpc", d.grpc); err != nil {
			return err
		}
		d.grpc = netutil.LimitListener(d.grpc, 2*t.MaxStreams) // a proxy of xDS may report its load on a second one
		d.follow = grpcedge.New(grpcedge.Door{Pilot: t.Name, Beat: t.Beat, Period: t.Period,
			SeenWithin: t.SeenWithin, HelloIn: t.HelloDeadline, MaxMessage: t.MaxFrame, MaxStreams: t.MaxStreams,
			QueueLines: t.Queue * linesEach, NewPerS: t.NewPerS, Keys: d.ring}, d.loop, log.Named("grpc"))
		var claims func(context.Context, string, string) error
		if d.ring != nil {
			claims = grpcedge.Claims
		}
		d.xds = xdsedge.New(xdsedge.Door{Kinds: t.KindNames(), Period: t.Period, SeenWithin: t.SeenWithin,
			HelloIn: t.HelloDeadline, MaxStreams: t.MaxStreams, Claims: claims}, d.loop, log.Named("xds"))
		d.xds.Register(d.follow.Registrar())
	}
	d.server = framed.NewServer(framed.Door{Pilot: t.Name, Beat: t.Beat, Period: t.Period,
		WriteDeadline: t.WriteDeadline, SeenWithin: t.SeenWithin, HelloDeadline: t.HelloDeadline, MaxFrame: t.MaxFrame,
		MaxStreams: t.MaxStreams, Queue: t.Queue}, d.loop, log.Named("streams"))
	return nil
}

// later passes inputs on to the loop, which is made after the edges that need it.
type later struct{ d *Daemon }

func (l later) Post(ctx context.Context, in pilot.Input) error { return l.d.loop.Post(ctx, in) }

// held is a plan whose edges do nothing: for a core that is being rebuilt.
func held(p pilot.Plan) pilot.Plan {
	p.List, p.Prober, p.Peers, p.Meter, p.Replayed = nobody{}, probe.Never{}, peers.Nobody{}, nil, true
	p.Log, p.Odd = func(string) {}, func(string, ...string) {}
	p.LinesPerS, p.Backlog = 0, 0
	return p
}

// nobody is a list source that is not asked.
type nobody struct{}

func (nobody) Watch(bool) {}

func (nobody) Fetch() {}
