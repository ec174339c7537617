// Package listener listens at a pilot's address on the operators' platform: collectors bring reports as lines of text,
// whoever else comes is a stranger. It parses, checks and hands over; it keeps nothing of what strangers name. One
// connection's faults end that connection alone, and strangers cost no more than the descriptors set aside for them.
package listener

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
)

// Figures of the listener.
const (
	identifyTimeout      = 1200 * time.Millisecond // a connection that says no more than ping is closed then
	writeTimeout         = 300 * time.Millisecond
	maxLineBytes         = 1 << 20 // bytes of a message
	maxGreetingBytes     = 256     // bytes that a connection may send before it is known
	maxUnreadableLines   = 3       // unreadable lines in a row after which a collector's connection is of no use
	rejectionLogInterval = time.Second
)

// Listener accepts connections.
type Listener struct {
	Counters           Counters
	zones              []string
	maxUnidentified    int // connections that have not joined
	inbox              pilot.Inbox
	log                *zap.Logger
	mu                 sync.Mutex
	unidentified       *list.List            // of net.Conn that have not joined, oldest first
	collectors         map[string][]net.Conn // collectors by zone, oldest first
	rejectionsLogged   time.Time
	rejectionsUnlogged int
}

// New returns a listener for collectors of these zones; most connections may stand that have not joined.
func New(zones []string, most int, inbox pilot.Inbox, log *zap.Logger) *Listener {
	return &Listener{zones: zones, maxUnidentified: max(1, most), inbox: inbox, log: log, unidentified: list.New(),
		collectors: map[string][]net.Conn{}}
}

// Serve accepts until ctx ends; connections then end with it.
func (d *Listener) Serve(ctx context.Context, l net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return l.Close()
	})
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				_ = g.Wait() // only says that the listener is closed
				return nil
			}
			if pause.Passing(err) { // no free descriptor: the oldest stranger goes
				d.evict(0)
				pause.For(ctx, 5*time.Millisecond)
				continue
			}
			return fmt.Errorf("accept on %s: %w", l.Addr(), err)
		}
		d.Counters.Accepted.Add(1)
		place := d.add(conn)
		g.Go(func() error {
			d.serve(ctx, conn, place)
			return nil
		})
	}
}
