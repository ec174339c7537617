package daemon

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// dialTimeout limits the time to connect to an endpoint or to the endpoint list server.
const dialTimeout = 2 * time.Second

// dialFunc opens a connection to an address; it has the signature of net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Options holds the dependencies of a controller that are not part of its configuration. Fields that are nil get the
// production defaults, unless noted otherwise.
type Options struct {
	Log   *zap.Logger      // nil: nothing is logged
	Level *zap.AtomicLevel // level of Log, which a reload changes; nil: the level is fixed
	Clock controller.Clock
	// Dial connects to endpoints and to the endpoint list server.
	Dial dialFunc
	// WrapPacketConn wraps the gossip socket, so that tests can intercept packets. By default the socket is used as it is.
	WrapPacketConn func(net.PacketConn) net.PacketConn
	// NewPlanner creates the planner.
	NewPlanner func(seed int64, settings map[string]any) controller.Decider
	// Listeners holds listeners taken over from another process, by the names that Daemon.Files uses. Listeners that are
	// not in the map are opened.
	Listeners map[string]net.Listener
}

// setDefaults replaces nil fields by the production defaults.
func (o *Options) setDefaults() {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = controller.RealClock{}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if o.WrapPacketConn == nil {
		o.WrapPacketConn = func(c net.PacketConn) net.PacketConn { return c }
	}
	if o.NewPlanner == nil {
		o.NewPlanner = func(seed int64, settings map[string]any) controller.Decider { return planner.New(seed, settings) }
	}
}

// listen returns the listener of that name if it was taken over; otherwise it opens a TCP listener at address.
func (o *Options) listen(name, address string) (net.Listener, error) {
	if l := o.Listeners[name]; l != nil {
		return l, nil
	}
	return net.Listen("tcp", address)
}
