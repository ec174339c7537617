package endpoint

import (
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

const (
	// readLimit is the maximum size of a request or health check message, in bytes.
	readLimit = 1 << 16
	// answerTimeout is the write timeout of an answer; the connection is closed when it expires.
	answerTimeout = time.Second
)

// accept serves connections until the listener is closed. Connections beyond MaxConnections are closed immediately.
func (p *process) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !p.addConn(conn) {
			_ = conn.Close()
			continue
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

// addConn registers a connection, so that it is closed when the process ends. It returns false if the connection limit
// is reached or the process has ended.
func (p *process) addConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.MaxConnections || p.ctx.Err() != nil {
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *process) removeConn(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// serve handles the requests and health checks of a connection until it is closed or sends an unexpected message.
func (p *process) serve(conn net.Conn) {
	defer func() {
		p.removeConn(conn)
		_ = conn.Close()
	}()
	p.handshake()
	reply := p.replier(conn)
	reader := wire.NewReader(conn, readLimit)
	for {
		message, err := reader.Read()
		if err != nil {
			return
		}
		switch m := message.(type) {
		case *wire.Request:
			p.admit(m, reply)
		case *wire.Probe:
			if !p.currentFault().Hang {
				reply(&wire.Response{Number: m.Number, Outcome: wire.Succeeded, Load: p.currentReport()})
			}
		default:
			return
		}
	}
}

// handshake performs the work for a new connection.
func (p *process) handshake() { p.work(p.HandshakeMs + p.currentFault().ExtraHandshakeMs) }

// replier returns a function that writes answers to a connection. It is safe for concurrent use.
func (p *process) replier(conn net.Conn) func(*wire.Response) {
	var mu sync.Mutex
	writer := wire.NewWriter(conn)
	return func(answer *wire.Response) {
		mu.Lock()
		defer mu.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // if this fails, the write fails too
		times := 1
		if p.currentFault().AnswerTwice {
			times = 2
		}
		for range times {
			if _, err := writer.Write(answer); err != nil {
				_ = conn.Close()
			}
		}
	}
}
