package daemon

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"indigousher/brain"
	"indigousher/internal/pilot"
)

// Outfit is what a pilot is started with beside its terms. Zero fields get what ships.
type Outfit struct {
	Log    *zap.Logger
	Level  *zap.AtomicLevel // set by a reload
	Clock  pilot.Clock
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	Packet func(net.PacketConn) net.PacketConn // wraps the socket between pilots
	Decide func(seed int64, terms map[string]any) pilot.Decider
	// Listeners that were taken over, by the names that Files gives; others are opened.
	Listeners map[string]net.Listener
}

// listen takes a listener that was handed over, or opens one.
func (o *Outfit) listen(name, address string) (net.Listener, error) {
	if l := o.Listeners[name]; l != nil {
		return l, nil
	}
	return net.Listen("tcp", address)
}

func (o *Outfit) setDefaults() {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Clock == nil {
		o.Clock = pilot.RealClock{}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	if o.Packet == nil {
		o.Packet = func(c net.PacketConn) net.PacketConn { return c }
	}
	if o.Decide == nil {
		o.Decide = func(seed int64, terms map[string]any) pilot.Decider { return brain.New(seed, terms) }
	}
}
