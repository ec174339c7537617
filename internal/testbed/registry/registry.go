// Package registry is a stand-in for the source of the endpoint list: it streams the whole list and then changes, late,
// over the framed protocol, and can die and come back.
package registry

import (
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/network"
	"indigousher/internal/wire"
)

// Registry is the source.
type Registry struct {
	events    *eventlog.Stream
	mu      sync.Mutex
	entries map[string]wire.Entry
	slices  map[int]wire.Slices // as last given, by slice
	version int
	subscribers   map[*subscriber]bool
	address string
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	timers  map[*time.Timer]bool
	tlsConfig  *tls.Config
}

// subscriber is a pilot that follows.
type subscriber struct {
	conn  net.Conn
	who   string
	out   chan wire.Message
	watch bool
}

// maxQueuedChanges is how many changes may wait for a pilot that reads slowly; one more ends its connection.
const maxQueuedChanges = 1024

// New returns an empty list that is not served.
func New(book *eventlog.Stream) *Registry {
	return &Registry{events: book, entries: map[string]wire.Entry{}, slices: map[int]wire.Slices{}, subscribers: map[*subscriber]bool{}, timers: map[*time.Timer]bool{}}
}

// UseTLS has the list served under TLS from its next start on.
func (l *Registry) UseTLS(c *tls.Config) { l.tlsConfig = c }

// Start serves the list, at the address of the first time.
func (l *Registry) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	ln, err := network.Listen(l.address)
	if err != nil {
		return fmt.Errorf("start list: %w", err)
	}
	l.address = ln.Addr().String()
	if l.tlsConfig != nil {
		ln = tls.NewListener(ln, l.tlsConfig)
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	ctx := l.ctx
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	l.events.Add(eventlog.Event{What: eventlog.Start})
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			l.wg.Go(func() { l.serve(ctx, c) })
		}
	})
	return nil
}

// Stop ends the service; the list is kept.
func (l *Registry) Stop() {
	l.mu.Lock()
	if l.cancel != nil {
		l.cancel()
	}
	l.events.Add(eventlog.Event{What: eventlog.Stop})
	for p := range l.subscribers {
		_ = p.conn.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// Close stops all, also changes that have not come yet.
func (l *Registry) Close() {
	l.mu.Lock()
	for t := range l.timers {
		t.Stop()
	}
	l.mu.Unlock()
	l.Stop()
}

// Address returns where pilots ask.
func (l *Registry) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// now is the list's clock, a second behind and of an origin of its own.
func now() uint64 { return uint64(time.Now().Add(-time.Second).UnixMilli()) }

// Stamp turns a time into the list's.
func Stamp(t time.Time) uint64 { return uint64(t.Add(-time.Second).UnixMilli()) }

// Put changes entries after a while.
func (l *Registry) Put(after time.Duration, entries ...wire.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after <= 0 {
		l.put(entries)
		return
	}
	var t *time.Timer
	t = time.AfterFunc(after, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.timers, t)
		l.put(entries)
	})
	l.timers[t] = true
}

func (l *Registry) put(entries []wire.Entry) {
	l.version++
	for _, e := range entries {
		if e.Phase == wire.PhaseGone {
			delete(l.entries, e.Endpoint)
		} else {
			l.entries[e.Endpoint] = e
		}
	}
	for p := range l.subscribers {
		if p.watch {
			l.push(p, &wire.List{Version: l.version, Now: now(), Entries: entries})
		}
	}
}

// AssignSlice gives a slice into the charge of all that follow or will, or takes it away, as the store of a deployment with
// slices would.
func (l *Registry) AssignSlice(x wire.Slices) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slices[x.Slice] = x
	for p := range l.subscribers {
		l.push(p, &x)
	}
}

func (l *Registry) push(p *subscriber, m wire.Message) {
	select {
	case p.out <- m:
	default:
		_ = p.conn.Close()
	}
}

func (l *Registry) serve(ctx context.Context, c net.Conn) {
	p := &subscriber{conn: c, out: make(chan wire.Message, maxQueuedChanges)}
	l.mu.Lock()
	l.subscribers[p] = true
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel()
		_ = c.Close()
		wg.Wait()
		l.mu.Lock()
		delete(l.subscribers, p)
		l.mu.Unlock()
	}()
	wg.Go(func() { l.write(ctx, p) })
	r := wire.NewReader(c, 1<<12)
	for {
		m, err := r.Read()
		if err != nil {
			return
		}
		ask, ok := m.(*wire.ListAsk)
		if !ok {
			return
		}
		l.mu.Lock()
		p.who = ask.Who
		p.watch = p.watch || ask.Watch
		if ask.Whole {
			whole := &wire.List{Version: l.version, Now: now(), Whole: true}
			for _, name := range slices.Sorted(maps.Keys(l.entries)) {
				whole.Entries = append(whole.Entries, l.entries[name])
			}
			l.push(p, whole)
			for _, i := range slices.Sorted(maps.Keys(l.slices)) {
				if x := l.slices[i]; x.Given {
					l.push(p, &x)
				}
			}
		}
		l.mu.Unlock()
	}
}

func (l *Registry) write(ctx context.Context, p *subscriber) {
	defer p.conn.Close()
	w := wire.NewWriter(p.conn)
	beat := time.NewTicker(300 * time.Millisecond)
	defer beat.Stop()
	for {
		var m wire.Message = &wire.Beat{}
		select {
		case <-ctx.Done():
			return
		case x := <-p.out:
			m = x
			if told, ok := x.(*wire.List); ok {
				l.logUpdate(p, told)
			}
		case <-beat.C:
		}
		_ = p.conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		if _, err := w.Write(m); err != nil {
			return
		}
	}
}

// logUpdate leaves in the trail what a pilot is told. Of a whole list also what it no longer names follows from it.
func (l *Registry) logUpdate(p *subscriber, m *wire.List) {
	l.mu.Lock()
	who := p.who
	l.mu.Unlock()
	if m.Whole {
		l.events.Add(eventlog.Event{What: eventlog.Told, Peer: who, N: -1})
	}
	for _, e := range m.Entries {
		age := -1.0
		if e.Started != 0 {
			age = float64(m.Now - e.Started)
		}
		l.events.Add(eventlog.Event{What: eventlog.Told, Peer: who, Text: e.Endpoint, Kind: e.Zone + "/" + e.Machine, N: e.Phase,
			Value: age})
	}
}
