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

// endpointSource is a source of the endpoint list with a goroutine of its own: Run blocks until ctx ends.
type endpointSource interface {
	controller.EndpointSource
	Run(ctx context.Context) error
}

// Daemon is one controller: the planner with its control loop, transports, listeners and record.
type Daemon struct {
	config   atomic.Pointer[config.Pilot] // current configuration, replaced by Reload
	options  Options
	registry *prometheus.Registry
	metrics  *controller.Metrics

	core      *controller.Core
	loop      *controller.Loop
	recording *recording // nil if recording is disabled

	// Transports. A transport that is not configured is nil.
	framedServer   *framed.Server
	grpcServer     *grpcapi.Server
	xdsServer      *xds.Server // shares grpcListener with grpcServer; nil exactly if grpcServer is nil
	endpointSource endpointSource
	healthChecker  *healthcheck.Checker
	gossip         *gossip.Service
	keyStore       *identity.KeyStore // nil: all connections are plain text

	// Listeners. listenerFiles holds duplicate file handles of them by name, to pass to another process.
	streamListener net.Listener
	grpcListener   net.Listener
	adminListener  net.Listener
	listenerFiles  map[string]*os.File

	runContext context.Context    // canceled when all parts must stop immediately
	terminate  context.CancelFunc // cancels runContext
	killed     atomic.Bool        // set by Kill
}

// New opens the listeners and creates the parts of the controller. Nothing is served until Run is called.
func New(cfg *config.Pilot, o Options) (*Daemon, error) {
	o.setDefaults()
	d := &Daemon{options: o, registry: prometheus.NewRegistry(), listenerFiles: map[string]*os.File{}}
	d.config.Store(cfg)
	d.metrics = controller.NewMetrics(d.registry)
	d.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	d.runContext, d.terminate = context.WithCancel(context.Background())
	if err := d.assemble(cfg); err != nil {
		if d.recording != nil {
			err = errors.Join(err, d.recording.close())
		}
		d.close()
		return nil, err
	}
	return d, nil
}

// State returns a snapshot of the control loop's state, as the admin interface serves it.
func (d *Daemon) State() controller.State { return d.loop.State() }

// Metrics returns the controller's metrics.
func (d *Daemon) Metrics() *controller.Metrics { return d.metrics }
