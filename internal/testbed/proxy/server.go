package proxy

import (
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

const (
	// requestReadLimit is the maximum size of a request or answer, in bytes.
	requestReadLimit = 1 << 16
	// requestWriteTimeout is the write timeout of a request or answer; the connection is closed when it expires.
	requestWriteTimeout = time.Second
)

// accept serves connections of clients until the listener is closed.
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

// addClient registers a connection of a client, so that kill closes it. It returns false if the process has already
// been killed.
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

// serve handles the requests of one connection, each in its own goroutine, until the connection is closed. It returns
// when all requests have finished.
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
			_ = conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout)) // if this fails, the write fails too
			if _, err := writer.Write(answer); err != nil {
				_ = conn.Close()
			}
		})
	}
}
