package registry

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

const (
	// maxQueuedChanges is how many changes may wait for a pilot that reads slowly; one more ends its connection.
	maxQueuedChanges = 1024
	// askReadLimit bounds what a pilot may send in one message, in bytes.
	askReadLimit = 1 << 12
	// beatInterval is how often a beat shows that the connection lives.
	beatInterval = 300 * time.Millisecond
	// writeTimeout is how long a message may take to write; beyond it the connection has broken.
	writeTimeout = 2 * time.Second
)

// Values of eventlog.Told.
const (
	wholeList  = -1   // N: a whole list begins; what it does not name is gone
	unknownAge = -1.0 // Value, in ms
)

// subscriber is a pilot that is connected. Its name and whether it watches are guarded by the registry's mu.
type subscriber struct {
	conn    net.Conn
	queue   chan wire.Message // to be written
	name    string            // empty before it has asked
	watches bool              // gets changes
}

// push queues a message. If the queue is full the connection ends, as the pilot has missed something.
func (s *subscriber) push(m wire.Message) {
	select {
	case s.queue <- m:
	default:
		_ = s.conn.Close()
	}
}

// serve answers one connection until it ends. Another goroutine writes; it has ended when serve returns.
func (r *Registry) serve(ctx context.Context, conn net.Conn) {
	s := &subscriber{conn: conn, queue: make(chan wire.Message, maxQueuedChanges)}
	r.addSubscriber(s)
	ctx, cancel := context.WithCancel(ctx)
	var writing sync.WaitGroup
	defer func() {
		cancel()
		_ = conn.Close()
		writing.Wait()
		r.removeSubscriber(s)
	}()
	writing.Go(func() { r.write(ctx, s) })
	reader := wire.NewReader(conn, askReadLimit)
	for {
		message, err := reader.Read()
		if err != nil {
			return
		}
		ask, ok := message.(*wire.ListRequest)
		if !ok {
			return
		}
		r.answer(s, ask)
	}
}

func (r *Registry) addSubscriber(s *subscriber) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[s] = true
}

func (r *Registry) removeSubscriber(s *subscriber) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.subscribers, s)
}

// answer queues what a pilot asks for.
func (r *Registry) answer(s *subscriber, ask *wire.ListRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.name = ask.Pilot
	s.watches = s.watches || ask.Watch
	if !ask.Whole {
		return
	}
	list := &wire.List{Version: r.version, Now: now(), Whole: true}
	for _, endpoint := range slices.Sorted(maps.Keys(r.entries)) {
		list.Entries = append(list.Entries, r.entries[endpoint])
	}
	s.push(list)
	for _, number := range slices.Sorted(maps.Keys(r.slices)) {
		if slice := r.slices[number]; slice.Given {
			s.push(&slice)
		}
	}
}

// write writes what is queued, and beats, until the connection breaks or ctx ends.
func (r *Registry) write(ctx context.Context, s *subscriber) {
	defer func() { _ = s.conn.Close() }() // the connection is over
	writer := wire.NewWriter(s.conn)
	beats := time.NewTicker(beatInterval)
	defer beats.Stop()
	for {
		var message wire.Message = &wire.Heartbeat{}
		select {
		case <-ctx.Done():
			return
		case message = <-s.queue:
		case <-beats.C:
		}
		if list, ok := message.(*wire.List); ok {
			r.logUpdate(s, list)
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if it failed, so will the write
		if _, err := writer.Write(message); err != nil {
			return
		}
	}
}

// logUpdate logs what a pilot is told: each entry, and for a whole list first that it begins.
func (r *Registry) logUpdate(s *subscriber, list *wire.List) {
	r.mu.Lock()
	pilot := s.name
	r.mu.Unlock()
	if list.Whole {
		r.events.Add(eventlog.Event{What: eventlog.Told, Peer: pilot, N: wholeList})
	}
	for _, entry := range list.Entries {
		r.events.Add(eventlog.Event{
			What:  eventlog.Told,
			Peer:  pilot,
			Text:  entry.Endpoint,
			Kind:  entry.Zone + "/" + entry.Machine,
			N:     entry.Phase,
			Value: ageMs(entry, list.Now),
		})
	}
}

// ageMs returns for how long an endpoint has run at a time on the list's clock.
func ageMs(entry wire.Entry, now uint64) float64 {
	if entry.Started == 0 {
		return unknownAge
	}
	return float64(now - entry.Started)
}
