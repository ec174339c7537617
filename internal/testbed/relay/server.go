package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// eventsPath is where event streams are asked for; everything else is a call.
const eventsPath = "/v1/events"

// sockets are the relay's listener and connections.
type sockets struct {
	listener net.Listener
	connsMu  sync.Mutex
	conns    map[net.Conn]bool        // guarded by connsMu
	streams  map[net.Conn]chan string // events that wait to be written; guarded by the relay's mu
}

func (r *Relay) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for the pilot: %w", err)
	}
	r.listener = listener
	r.conns = map[net.Conn]bool{}
	r.streams = map[net.Conn]chan string{}
	go r.accept() // ends with Close
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
		_ = tcp.SetLinger(0) // if it failed, the connection ends in order
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
		go r.serve(conn) // ends when the connection does
	}
}

func (r *Relay) removeConn(conn net.Conn) {
	r.connsMu.Lock()
	defer r.connsMu.Unlock()
	delete(r.conns, conn)
}

// serve handles the calls of a connection one after another, or streams events over it.
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

// answerCall handles one call and returns whether the connection stays open.
func (r *Relay) answerCall(conn net.Conn, body []byte) bool {
	answer, failure := r.handleCall(body)
	switch failure {
	case Silent:
		return true // read on until the connection is reset
	case Resetting:
		reset(conn)
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	return err == nil
}
