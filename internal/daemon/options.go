package daemon

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// dialTimeout is how long a dial of an endpoint or of the endpoint list may take.
const dialTimeout = 2 * time.Second

// dialFunc reaches an address.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Options is what a controller is started with beside its configuration. Zero fields get what ships.
type Options struct {
	Log   *zap.Logger
	Level *zap.AtomicLevel // of Log; set by a reload; nil: nothing is set
	Clock controller.Clock
	// Dial reaches endpoints and the endpoint list.
	Dial dialFunc
	// Packet wraps the socket between controllers.
	Packet func(net.PacketConn) net.PacketConn
	// Decide makes the planner.
	Decide func(seed int64, settings map[string]any) controller.Decider
	// Listeners that were taken over, by the names that Files gives; others are opened.
	Listeners map[string]net.Listener
}

// setDefaults fills in what ships.
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
	if o.Packet == nil {
		o.Packet = func(c net.PacketConn) net.PacketConn { return c }
	}
	if o.Decide == nil {
		o.Decide = func(seed int64, settings map[string]any) controller.Decider { return planner.New(seed, settings) }
	}
}

// listen returns a listener that was taken over, or opens one.
func (o *Options) listen(name, address string) (net.Listener, error) {
	if l := o.Listeners[name]; l != nil {
		return l, nil
	}
	return net.Listen("tcp", address)
}
