// Package listener accepts connections at the pilot's address on the operators' platform. Collectors identify
// themselves and send load reports as lines of text; all other connections are rejected or closed. The package parses
// and validates the reports and posts them to the controller. It keeps no data from connections that have not
// identified themselves. An error on one connection ends only that connection. Unidentified connections are limited in
// number, so that they cannot use up the process's file descriptors.
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

// acceptRetryDelay is the pause after a temporary failure of Accept, such as running out of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Listener accepts connections and posts the reports of collectors to the controller.
type Listener struct {
	Counters Counters

	zones []string // zones whose collectors are accepted
	inbox controller.Inbox
	log   *zap.Logger

	unidentified unidentifiedConns
	collectors   collectorConns
	rejections   rejectionLog
}

// New returns a listener that accepts the collectors of the given zones. maxUnidentified is the maximum number of open
// connections that have not identified themselves; a value below 1 means 1.
func New(zones []string, maxUnidentified int, inbox controller.Inbox, log *zap.Logger) *Listener {
	l := &Listener{zones: zones, inbox: inbox, log: log}
	l.unidentified.limit = max(1, maxUnidentified)
	l.unidentified.evicted = &l.Counters.Evicted
	l.unidentified.conns = list.New()
	l.collectors.byZone = map[string][]net.Conn{}
	l.rejections.log = log
	return l
}

// Serve accepts connections on socket and handles each in its own goroutine. When ctx is cancelled, it closes the
// socket and all connections, waits for the goroutines and returns nil. It returns an error if Accept fails
// permanently.
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
			_ = group.Wait() // the only possible error is from closing the socket
			return nil       //nolint:nilerr // Accept failed because ctx was cancelled and the socket closed
		}
		if !backoff.Temporary(err) {
			return fmt.Errorf("accept on %s: %w", socket.Addr(), err)
		}
		l.unidentified.evictTo(0) // frees file descriptors for the next Accept
		backoff.Sleep(ctx, acceptRetryDelay)
	}
}
