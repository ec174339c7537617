package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"indigousher/internal/edge/framed"
	"indigousher/internal/edge/grpcedge"
	"indigousher/internal/edge/peers"
	"indigousher/internal/edge/probe"
	"indigousher/internal/edge/xdsedge"
	"indigousher/internal/keys"
	"indigousher/internal/pilot"
	"indigousher/internal/terms"
)

// follower is a list source that runs.
type follower interface {
	pilot.ListSource
	Run(ctx context.Context) error
}

// Daemon is one pilot.
type Daemon struct {
	terms    atomic.Pointer[terms.Pilot]
	outfit   Outfit
	registry *prometheus.Registry
	meter    *pilot.Meter
	core     *pilot.Core
	record   *recorded
	loop     *pilot.Loop
	server   *framed.Server
	source   follower
	prober   *probe.Prober
	post     *peers.Post
	follow   *grpcedge.Server
	xds      *xdsedge.Server
	ring     *keys.Ring
	streams  net.Listener
	grpc     net.Listener
	admin    net.Listener
	files    map[string]*os.File
	life     context.Context
	die      context.CancelFunc
	killed   atomic.Bool
}

// New opens the listeners and builds the pilot. Nothing runs before Run.
func New(t *terms.Pilot, o Outfit) (*Daemon, error) {
	o.fill()
	d := &Daemon{outfit: o, registry: prometheus.NewRegistry(), files: map[string]*os.File{}}
	d.terms.Store(t)
	d.meter = pilot.NewMeter(d.registry)
	d.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.life, d.die = context.WithCancel(context.Background())
	if err := d.open(t); err != nil {
		if d.record != nil {
			err = errors.Join(err, d.record.close())
		}
		d.close()
		return nil, err
	}
	return d, nil
}

// Address returns where proxies join.
func (d *Daemon) Address() string { return d.streams.Addr().String() }

// GRPCAddress returns where proxies join over gRPC, or nothing.
func (d *Daemon) GRPCAddress() string {
	if d.grpc == nil {
		return ""
	}
	return d.grpc.Addr().String()
}

// AdminAddress returns where operators ask, or nothing.
func (d *Daemon) AdminAddress() string {
	if d.admin == nil {
		return ""
	}
	return d.admin.Addr().String()
}

// State returns what the loop shows of itself.
func (d *Daemon) State() pilot.State { return d.loop.State() }

// Meter returns the runtime's metrics.
func (d *Daemon) Meter() *pilot.Meter { return d.meter }
