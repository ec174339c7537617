package daemon

import (
	"context"
	"errors"
	"net"
	"os"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/identity"
	"indigousher/internal/transport/framed"
	"indigousher/internal/transport/gossip"
	"indigousher/internal/transport/grpcapi"
	"indigousher/internal/transport/healthcheck"
	"indigousher/internal/transport/xds"
)

// endpointSource is a source of the endpoint list that runs.
type endpointSource interface {
	controller.ListSource
	Run(ctx context.Context) error
}

// Daemon is one controller.
type Daemon struct {
	config   atomic.Pointer[config.Pilot] // as it stands after the last reload
	options  Outfit
	registry *prometheus.Registry
	metrics  *controller.Meter

	core      *controller.Core
	loop      *controller.Loop
	recording *recording // nil: nothing is recorded

	// The transports; those that the configuration does not ask for are nil.
	framedServer   *framed.Server
	grpcServer     *grpcapi.Server
	xdsServer      *xds.Server // with grpcServer, on the same listener
	endpointSource endpointSource
	healthChecker  *healthcheck.Prober
	gossip         *gossip.Post
	keyStore       *identity.Ring // nil: all is in plain text

	// The listeners, and handles on them that may be handed over.
	streamListener net.Listener
	grpcListener   net.Listener
	adminListener  net.Listener
	listenerFiles  map[string]*os.File

	running   context.Context // ends when everything is to end at once
	terminate context.CancelFunc
	killed    atomic.Bool // by Kill
}

// New opens the listeners and assembles the controller. Nothing runs before Run.
func New(cfg *config.Pilot, o Outfit) (*Daemon, error) {
	o.setDefaults()
	d := &Daemon{options: o, registry: prometheus.NewRegistry(), listenerFiles: map[string]*os.File{}}
	d.config.Store(cfg)
	d.metrics = controller.NewMeter(d.registry)
	d.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	d.running, d.terminate = context.WithCancel(context.Background())
	if err := d.assemble(cfg); err != nil {
		if d.recording != nil {
			err = errors.Join(err, d.recording.close())
		}
		d.close()
		return nil, err
	}
	return d, nil
}

// State returns what the loop shows of itself.
func (d *Daemon) State() controller.State { return d.loop.State() }

// Meter returns the controller's metrics.
func (d *Daemon) Meter() *controller.Meter { return d.metrics }
