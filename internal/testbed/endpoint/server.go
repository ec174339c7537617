package endpoint

import (
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

const (
	// readLimit bounds the messages of requests and health checks, in bytes.
	readLimit = 1 << 16
	// answerTimeout is how long an answer may take to write; beyond it the connection has broken.
	answerTimeout = time.Second
)

// accept takes connections until the listener closes. Those beyond the bound are closed at once.
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

// addConn has the process close a connection when it ends. It returns false if there is no room for it, or the process
// has ended.
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

// serve reads the requests and health checks of a connection until it ends.
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

// handshake does the work that a new connection costs.
func (p *process) handshake() { p.work(p.HandshakeMs + p.currentFault().ExtraHandshakeMs) }

// replier returns how answers are written to a connection, from any goroutine.
func (p *process) replier(conn net.Conn) func(*wire.Response) {
	var mu sync.Mutex
	writer := wire.NewWriter(conn)
	return func(answer *wire.Response) {
		mu.Lock()
		defer mu.Unlock()
		_ = conn.SetWriteDeadline(time.Now().Add(answerTimeout)) // if it failed, so will the write
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
