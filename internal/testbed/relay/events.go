package relay

import (
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// keepaliveInterval is how often an event stream carries an empty event.
	keepaliveInterval = time.Second
	// streamBuffer is how many events may wait for a reader; one that lags further behind is cut off.
	streamBuffer = 4096
)

// streamEvents writes which proxies are connected and then every event, until the connection breaks. While the relay is
// silent events are lost.
func (r *Relay) streamEvents(conn net.Conn) {
	events, ok := r.subscribe(conn)
	if !ok {
		reset(conn)
		return
	}
	defer r.unsubscribe(conn)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // ends when the connection does
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

// subscribe opens an event stream, which begins with the proxies that are connected. It returns false while streams
// are broken. A stream that is opened in a silence never carries anything.
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

// publish hands an event to all streams, unless the relay is silent. The caller holds mu.
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

// chunk returns an event as a line in HTTP's chunked encoding.
func chunk(event string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(event)+1, event) }
