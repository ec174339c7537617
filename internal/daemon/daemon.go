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
	controller.EndpointSource
	Run(ctx context.Context) error
}

// Daemon is one controller.
type Daemon struct {
	config   atomic.Pointer[config.Pilot] // as it stands after the last reload
	options  Options
	registry *prometheus.Registry
	metrics  *controller.Metrics

	core      *controller.Core
	loop      *controller.Loop
	recording *recording // nil: nothing is recorded

	// The transports; those that the configuration does not ask for are nil.
	framedServer   *framed.Server
	grpcServer     *grpcapi.Server
	xdsServer      *xds.Server // with grpcServer, on the same listener
	endpointSource endpointSource
	healthChecker  *healthcheck.Checker
	gossip         *gossip.Service
	keyStore       *identity.KeyStore // nil: all is in plain text

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
func New(cfg *config.Pilot, o Options) (*Daemon, error) {
	o.setDefaults()
	d := &Daemon{options: o, registry: prometheus.NewRegistry(), listenerFiles: map[string]*os.File{}}
	d.config.Store(cfg)
	d.metrics = controller.NewMetrics(d.registry)
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

// Metrics returns the controller's metrics.
func (d *Daemon) Metrics() *controller.Metrics { return d.metrics }
