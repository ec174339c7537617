// Package registry implements the source of the endpoint list for tests. It streams the complete list and then its
// changes over the framed protocol. Changes can be delayed, and the service can be stopped and restarted.
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

// Registry holds an endpoint list and serves it to pilots. The list is kept while the service is stopped.
type Registry struct {
	events    *eventlog.Stream
	tlsConfig *tls.Config // nil means that TLS is not used
	wg        sync.WaitGroup

	mu          sync.Mutex            // guards the fields below
	address     string                // listen address; empty before the first start
	cancel      context.CancelFunc    // stops the running service; nil before the first start
	version     int                   // incremented by each change of the list
	entries     map[string]wire.Entry // by name of the endpoint
	slices      map[int]wire.Slices   // last assignment or removal, by number of the slice
	subscribers map[*subscriber]bool
	timers      map[*time.Timer]bool // timers of delayed changes
}

// New returns a registry with an empty list. It is not served until Start.
func New(events *eventlog.Stream) *Registry {
	return &Registry{
		events:      events,
		entries:     map[string]wire.Entry{},
		slices:      map[int]wire.Slices{},
		subscribers: map[*subscriber]bool{},
		timers:      map[*time.Timer]bool{},
	}
}

// UseTLS sets the TLS configuration for subsequent calls of Start; nil disables TLS.
func (r *Registry) UseTLS(c *tls.Config) { r.tlsConfig = c }

// Start serves the list until Stop. Every start after the first uses the address of the first.
func (r *Registry) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	listener, err := network.Listen(r.address)
	if err != nil {
		return fmt.Errorf("start registry: %w", err)
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

// accept serves connections of pilots until the listener is closed.
func (r *Registry) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(ctx, conn) })
	}
}

// Stop stops the service and waits for its goroutines. The list is kept.
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

// Close stops the service and cancels all delayed changes.
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

// Address returns the address at which the list is served, or "" before the first start.
func (r *Registry) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}
