// Package registry is the source of the endpoint list for tests: it streams the whole list and then its changes, late,
// over the framed protocol, and can die and come back.
package registry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/wire"
)

// Registry is the source of the list. The list outlives the service's stops.
type Registry struct {
	events    *eventlog.Stream
	tlsConfig *tls.Config // nil: without TLS
	wg        sync.WaitGroup

	mu          sync.Mutex // guards what follows
	address     string     // empty before the first start
	cancel      context.CancelFunc
	version     int
	entries     map[string]wire.Entry // by endpoint
	slices      map[int]wire.Slices   // as last assigned, by slice
	subscribers map[*subscriber]bool
	timers      map[*time.Timer]bool // of changes that are still to come
}

// New returns a registry with an empty list that is not served.
func New(events *eventlog.Stream) *Registry {
	return &Registry{
		events:      events,
		entries:     map[string]wire.Entry{},
		slices:      map[int]wire.Slices{},
		subscribers: map[*subscriber]bool{},
		timers:      map[*time.Timer]bool{},
	}
}

// UseTLS has the list served under TLS from its next start on.
func (r *Registry) UseTLS(c *tls.Config) { r.tlsConfig = c }

// Start serves the list, at the address of the first time, until Stop.
func (r *Registry) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	listener, err := network.Listen(r.address)
	if err != nil {
		return fmt.Errorf("start list: %w", err)
	}
	r.address = listener.Addr().String()
	if r.tlsConfig != nil {
		listener = tls.NewListener(listener, r.tlsConfig)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	r.events.Add(eventlog.Event{What: eventlog.Start})
	r.wg.Go(func() { r.accept(ctx, listener) })
	return nil
}

// accept serves pilots until the listener closes.
func (r *Registry) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(ctx, conn) })
	}
}

// Stop ends the service and returns when its goroutines have ended. The list is kept.
func (r *Registry) Stop() {
	r.closeConnections()
	r.wg.Wait()
}

func (r *Registry) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel()
	}
	r.events.Add(eventlog.Event{What: eventlog.Stop})
	for s := range r.subscribers {
		_ = s.conn.Close()
	}
}

// Close ends the service and drops the changes that are still to come.
func (r *Registry) Close() {
	r.stopTimers()
	r.Stop()
}

func (r *Registry) stopTimers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for timer := range r.timers {
		timer.Stop()
	}
}

// Address returns where pilots connect.
func (r *Registry) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}
