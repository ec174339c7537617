// Package listener listens at the pilot's address on the operators' platform. Collectors identify themselves and send
// load reports as lines of text; all other connections are rejected or closed. It parses and validates reports and
// posts them, and keeps no data of unidentified connections. An error on one connection ends only that connection,
// and unidentified connections use only the descriptors reserved for them.
package listener

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
)

// acceptRetryDelay is the pause after accept has failed temporarily, as without a free descriptor.
const acceptRetryDelay = 5 * time.Millisecond

// Listener accepts connections and posts the reports of collectors.
type Listener struct {
	Counters Counters

	zones []string // whose collectors are accepted
	inbox controller.Inbox
	log   *zap.Logger

	unidentified unidentifiedConns
	collectors   collectorConns
	rejections   rejectionLog
}

// New returns a listener for the collectors of zones. Up to maxUnidentified connections, at least one, may be open
// without having identified themselves.
func New(zones []string, maxUnidentified int, inbox controller.Inbox, log *zap.Logger) *Listener {
	l := &Listener{zones: zones, inbox: inbox, log: log}
	l.unidentified.limit = max(1, maxUnidentified)
	l.unidentified.evicted = &l.Counters.Evicted
	l.unidentified.conns = list.New()
	l.collectors.byZone = map[string][]net.Conn{}
	l.rejections.log = log
	return l
}

// Serve accepts connections until ctx ends, which closes the socket and all connections. Each connection is served by
// a goroutine that ends with it.
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
			element := l.unidentified.add(conn)
			group.Go(func() error {
				l.serve(ctx, conn, element)
				return nil
			})
			continue
		}
		if ctx.Err() != nil {
			_ = group.Wait() // the result of closing the socket
			return nil       //nolint:nilerr // the socket was closed because ctx has ended
		}
		if !backoff.Temporary(err) {
			return fmt.Errorf("accept on %s: %w", socket.Addr(), err)
		}
		l.unidentified.evictTo(0) // to free descriptors
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}
