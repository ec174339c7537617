package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// eventsPath is the URL path of event streams. Requests for any other path are calls.
const eventsPath = "/v1/events"

// sockets holds the listener and the connections of a relay.
type sockets struct {
	listener net.Listener
	connsMu  sync.Mutex
	conns    map[net.Conn]bool        // guarded by connsMu
	streams  map[net.Conn]chan string // queued events, by connection; guarded by Relay.mu
}

func (r *Relay) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for relay: %w", err)
	}
	r.listener = listener
	r.conns = map[net.Conn]bool{}
	r.streams = map[net.Conn]chan string{}
	go r.accept() // returns after Close
	return nil
}

// Address returns the host and port at which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Close stops the relay and resets all connections.
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

// reset closes a connection with a TCP RST, as a machine does for connections from before its restart.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, the connection is closed with a FIN instead
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
		go r.serve(conn) // returns when the connection is closed
	}
}

func (r *Relay) removeConn(conn net.Conn) {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	delete(r.conns, conn)
}

// serve handles the calls of a connection in order. If the client requests eventsPath, it streams events from then on.
func (r *Relay) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.removeConn(conn)
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
		if request.URL.Path == eventsPath {
			r.streamEvents(conn)
			return
		}
		if !r.answerCall(conn, body) {
			return
		}
	}
}

// answerCall handles one call, answers it as the failure mode requires, and returns whether the connection stays open.
func (r *Relay) answerCall(conn net.Conn, body []byte) bool {
	answer, failure := r.handleCall(body)
	switch failure {
	case Silent:
		return true // continue to read until the connection is reset
	case Resetting:
		reset(conn)
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	return err == nil
}
