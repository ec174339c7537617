package main

import (
	"net"
	"sync"
)

// tracked is a listener that knows its connections, so that they can be reset.
type tracked struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]bool
}

// listenLoopback opens a listener on a free port of a loopback address.
func listenLoopback() (*tracked, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &tracked{Listener: listener, conns: map[net.Conn]bool{}}, nil
}

// Accept implements net.Listener.
func (t *tracked) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &trackedConn{conn, t}
	t.conns[c] = true
	return c, nil
}

// resetAll resets all connections.
func (t *tracked) resetAll() {
	t.mu.Lock()
	var conns []net.Conn
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		reset(c)
	}
}

// trackedConn is a connection of a tracked listener.
type trackedConn struct {
	net.Conn
	of *tracked
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.of.mu.Lock()
	delete(c.of.conns, c)
	c.of.mu.Unlock()
	return c.Conn.Close()
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if c, ok := conn.(*trackedConn); ok {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = conn.Close()
}
