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

// endpointSource is a list source that runs.
type endpointSource interface {
	pilot.ListSource
	Run(ctx context.Context) error
}

// Daemon is one pilot.
type Daemon struct {
	config         atomic.Pointer[terms.Pilot]
	options        Outfit
	registry       *prometheus.Registry
	metrics        *pilot.Meter
	core           *pilot.Core
	recording      *recording
	loop           *pilot.Loop
	framedServer   *framed.Server
	endpointSource endpointSource
	healthChecker  *probe.Prober
	gossip         *peers.Post
	grpcServer     *grpcedge.Server
	xdsServer      *xdsedge.Server
	keyStore       *keys.Ring
	streamListener net.Listener
	grpcListener   net.Listener
	adminListener  net.Listener
	files          map[string]*os.File
	running        context.Context
	terminate      context.CancelFunc
	killed         atomic.Bool
}

// New opens the listeners and builds the pilot. Nothing runs before Run.
func New(t *terms.Pilot, o Outfit) (*Daemon, error) {
	o.setDefaults()
	d := &Daemon{options: o, registry: prometheus.NewRegistry(), files: map[string]*os.File{}}
	d.config.Store(t)
	d.metrics = pilot.NewMeter(d.registry)
	d.registry.MustRegister(collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	d.running, d.terminate = context.WithCancel(context.Background())
	if err := d.assemble(t); err != nil {
		if d.recording != nil {
			err = errors.Join(err, d.recording.close())
		}
		d.close()
		return nil, err
	}
	return d, nil
}

// Address returns where proxies join.
func (d *Daemon) Address() string { return d.streamListener.Addr().String() }

// GRPCAddress returns where proxies join over gRPC, or nothing.
func (d *Daemon) GRPCAddress() string {
	if d.grpcListener == nil {
		return ""
	}
	return d.grpcListener.Addr().String()
}

// AdminAddress returns where operators ask, or nothing.
func (d *Daemon) AdminAddress() string {
	if d.adminListener == nil {
		return ""
	}
	return d.adminListener.Addr().String()
}

// State returns what the loop shows of itself.
func (d *Daemon) State() pilot.State { return d.loop.State() }

// Meter returns the runtime's metrics.
func (d *Daemon) Meter() *pilot.Meter { return d.metrics }
