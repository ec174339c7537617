// Package listener listens at a pilot's address on the operators' platform. Collectors identify themselves and bring
// load reports as lines of text; all other connections are rejected or closed. It parses, checks and hands over, and
// keeps nothing of what unidentified connections name. A fault of one connection ends that connection alone, and
// unidentified connections cost no more than the descriptors set aside for them.
package listener

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
)

// acceptRetryDelay is the pause after an accept that failed for want of a descriptor or the like.
const acceptRetryDelay = 5 * time.Millisecond

// Listener accepts connections and posts the reports that collectors bring.
type Listener struct {
	Counters Counters

	zones []string // whose collectors may come
	inbox pilot.Inbox
	log   *zap.Logger

	unidentified unidentified
	collectors   collectors
	rejections   rejectionLog
}

// New returns a listener for collectors of these zones. maxUnidentified connections may stand that have not identified
// themselves, at least one.
func New(zones []string, maxUnidentified int, inbox pilot.Inbox, log *zap.Logger) *Listener {
	l := &Listener{zones: zones, inbox: inbox, log: log}
	l.unidentified.limit = max(1, maxUnidentified)
	l.unidentified.evicted = &l.Counters.Evicted
	l.unidentified.conns = list.New()
	l.collectors.byZone = map[string][]net.Conn{}
	l.rejections.log = log
	return l
}

// Serve accepts connections until ctx ends, which ends them as well.
func (l *Listener) Serve(ctx context.Context, socket net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return socket.Close()
	})
	for {
		conn, err := socket.Accept()
		if err == nil {
			l.Counters.Accepted.Add(1)
			place := l.unidentified.add(conn)
			group.Go(func() error {
				l.serve(ctx, conn, place)
				return nil
			})
			continue
		}
		if ctx.Err() != nil {
			_ = group.Wait() // only says that the socket is closed
			return nil       //nolint:nilerr // the socket was closed because ctx has ended
		}
		if !pause.Passing(err) {
			return fmt.Errorf("accept on %s: %w", socket.Addr(), err)
		}
		l.unidentified.evictTo(0) // there is no free descriptor
		pause.For(ctx, acceptRetryDelay)
	}
}
