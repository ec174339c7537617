package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the event streams.
const (
	keepaliveInterval   = time.Second
	streamBuffer = 4096 // events; a reader that lags further behind is cut off
)

// network is the relay's sockets.
type network struct {
	listener net.Listener
	connsMu  sync.Mutex
	conns    map[net.Conn]bool
	streams  map[net.Conn]chan string
}

func (r *Relay) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the pilot: %w", err)
	}
	r.listener, r.conns, r.streams = listener, map[net.Conn]bool{}, map[net.Conn]chan string{}
	go r.accept()
	return nil
}

// Address returns the host and port that the relay listens at.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close ends the relay and all connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.resetAll()
}

// resetAll resets every connection.
func (r *Relay) resetAll() {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	for conn := range r.conns {
		reset(conn)
	}
}

// reset ends a connection as a machine does that has come back and knows nothing of it.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.connsMu.Lock()
		r.conns[conn] = true
		r.connsMu.Unlock()
		go r.serve(conn)
	}
}

func (r *Relay) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.connsMu.Lock()
		delete(r.conns, conn)
		r.connsMu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/v1/events" {
			r.stream(conn)
			return
		}
		answer, failure := r.handleCall(body)
		switch failure {
		case Silent:
			continue // read on until the connection is reset
		case Resetting:
			reset(conn)
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer); err != nil {
			return
		}
	}
}

// stream tells what stands and then every event, until the connection breaks.
func (r *Relay) stream(conn net.Conn) {
	events := make(chan string, streamBuffer)
	r.mu.Lock()
	if r.streamsBroken {
		r.mu.Unlock()
		reset(conn)
		return
	}
	if r.failure != Silent {
		events <- "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, p := range r.proxies {
			events <- chunk(fmt.Sprintf(`{"type":"joined","object":{"node":%d,"locality":%q,"w":%g,"cold":%t}}`,
				p.Number, p.Zone, p.Rate, !p.assigned))
		}
		r.streams[conn] = events
	}
	r.mu.Unlock()
	defer r.forget(conn)
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, conn) // ends when the connection does
		close(closed)
	}()
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		text := ""
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

func (r *Relay) forget(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, conn)
}

// publish hands an event to all streams; r.mu is held. While the relay is silent events are lost.
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

func chunk(event string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(event)+1, event) }
