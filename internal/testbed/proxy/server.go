package proxy

import (
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

const (
	// requestReadLimit bounds the messages of requests and answers, in bytes.
	requestReadLimit = 1 << 16
	// requestWriteTimeout is how long a request or answer may take to write; beyond it the connection has broken.
	requestWriteTimeout = time.Second
)

// accept serves clients until the listener closes.
func (p *process) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !p.addClient(conn) {
			_ = conn.Close()
			return
		}
		p.wg.Go(func() { p.serve(conn) })
	}
}

// addClient has kill close a connection. It returns false if that has passed already.
func (p *process) addClient(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	p.clients[conn] = true
	return true
}

func (p *process) removeClient(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.clients, conn)
}

// serve answers the requests of one connection, each in its own goroutine, and returns when all of them have ended.
func (p *process) serve(conn net.Conn) {
	defer func() {
		p.removeClient(conn)
		_ = conn.Close()
	}()
	var writing sync.Mutex
	writer := wire.NewWriter(conn)
	reader := wire.NewReader(conn, requestReadLimit)
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		message, err := reader.Read()
		if err != nil {
			return
		}
		req, ok := message.(*wire.Request)
		if !ok {
			return
		}
		requests.Go(func() {
			answer := p.handle(req)
			answer.Number = req.Number
			writing.Lock()
			defer writing.Unlock()
			_ = conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout)) // if it failed, so will the write
			if _, err := writer.Write(answer); err != nil {
				_ = conn.Close()
			}
		})
	}
}
