package relay

import (
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// keepaliveInterval is the interval at which an empty event is sent on each event stream.
	keepaliveInterval = time.Second
	// streamBuffer is the maximum number of events queued for a slow reader; beyond it the connection is closed.
	streamBuffer = 4096
)

// streamEvents writes the connected proxies and then all events to a connection until it is closed. Events are lost
// while the relay is in the failure mode Silent.
func (r *Relay) streamEvents(conn net.Conn) {
	events, ok := r.subscribe(conn)
	if !ok {
		reset(conn)
		return
	}
	defer r.unsubscribe(conn)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // returns when the connection is closed
		close(closed)
	}()
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		var text string
		select {
		case text = <-events:
		case <-ticker.C:
			text = chunk("{}")
		case <-closed:
			return
		}
		if r.isSilent() {
			continue
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// subscribe opens an event stream and queues a joined event for each connected proxy. It returns false while streams
// are broken by BreakStreams. A stream that is opened during the failure mode Silent never receives an event, not even
// after Recover.
func (r *Relay) subscribe(conn net.Conn) (events chan string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.streamsBroken {
		return nil, false
	}
	events = make(chan string, streamBuffer)
	if r.failure == Silent {
		return events, true
	}
	events <- "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, p := range r.proxies {
		events <- chunk(fmt.Sprintf(`{"type":"joined","object":{"node":%d,"locality":%q,"w":%g,"cold":%t}}`,
			p.Number, p.Zone, p.Rate, !p.assigned))
	}
	r.streams[conn] = events
	return events, true
}

func (r *Relay) unsubscribe(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, conn)
}

// publish queues an event on all streams, unless the failure mode is Silent. It closes streams whose queue is full. The
// caller must hold mu.
func (r *Relay) publish(event string) {
	if r.failure == Silent {
		return
	}
	for conn, events := range r.streams {
		select {
		case events <- chunk(event):
		default:
			_ = conn.Close()
		}
	}
}

// chunk returns an event, followed by a newline, as one chunk of the HTTP chunked transfer encoding.
func chunk(event string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(event)+1, event) }
