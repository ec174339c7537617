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
	// maxQueuedChanges is the maximum number of messages queued for a slow pilot; beyond it the connection is closed.
	maxQueuedChanges = 1024
	// readLimit is the maximum size of a message from a pilot, in bytes.
	readLimit = 1 << 12
	// heartbeatInterval is the interval between heartbeats.
	heartbeatInterval = 300 * time.Millisecond
	// writeTimeout is the write timeout of a message; the connection is closed when it expires.
	writeTimeout = 2 * time.Second
)

// Special values in the fields of events of type eventlog.Told.
const (
	wholeList  = -1   // N: a complete list starts; endpoints that it does not contain have been removed
	unknownAge = -1.0 // Value: the age of the endpoint is unknown
)

// subscriber is a connected pilot. The fields name and watches are guarded by Registry.mu.
type subscriber struct {
	conn    net.Conn
	queue   chan wire.Message // messages to write
	name    string            // name of the pilot; empty before its first request
	watches bool              // whether the pilot receives changes
}

// push queues a message. If the queue is full, it closes the connection, because the pilot would miss a change.
func (s *subscriber) push(m wire.Message) {
	select {
	case s.queue <- m:
	default:
		_ = s.conn.Close()
	}
}

// serve handles the requests of one connection until it is closed. It starts a goroutine that writes messages and waits
// for it before it returns.
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
	reader := wire.NewReader(conn, readLimit)
	for {
		message, err := reader.Read()
		if err != nil {
			return
		}
		request, ok := message.(*wire.ListRequest)
		if !ok {
			return
		}
		r.answer(s, request)
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

// answer handles a request of a pilot. It queues the complete list and the assigned slices if the pilot asks for them.
func (r *Registry) answer(s *subscriber, request *wire.ListRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.name = request.Pilot
	s.watches = s.watches || request.Watch
	if !request.Whole {
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

// write writes queued messages and heartbeats until the connection fails or ctx is done.
func (r *Registry) write(ctx context.Context, s *subscriber) {
	defer func() { _ = s.conn.Close() }() // also ends the reader in serve
	writer := wire.NewWriter(s.conn)
	beats := time.NewTicker(heartbeatInterval)
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
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // if this fails, the write fails too
		if _, err := writer.Write(message); err != nil {
			return
		}
	}
}

// logUpdate logs the entries of a list message that is sent to a pilot, preceded by a marker if the list is complete.
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

// ageMs returns how long an endpoint has been running, in ms, or unknownAge. now is a time on the registry's clock.
func ageMs(entry wire.Entry, now uint64) float64 {
	if entry.Started == 0 {
		return unknownAge
	}
	return float64(now - entry.Started)
}
