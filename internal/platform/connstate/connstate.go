// Package connstate determines the state of a TCP connection without consuming data from it and without blocking.
package connstate

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a TCP connection as seen from the local side.
type State int

// States of a connection.
const (
	Idle     State = iota // open, no unread data is buffered
	Readable              // unread data is buffered; the peer may have closed the connection
	Closed                // closed or reset by the peer with no unread data, or closed locally
)

// Peek returns the state of conn. It returns Idle if conn is nil or not a TCP connection. It is safe to call while
// another goroutine reads from conn.
func Peek(conn net.Conn) State {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return Idle
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	var state State
	err = raw.Control(func(fd uintptr) { // unlike raw.Read, does not wait for a concurrent reader
		state = peekSocket(int(fd))
	})
	if err != nil {
		return Closed
	}
	return state
}

// peekSocket returns the state of the socket fd. It does not block.
func peekSocket(fd int) State {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err == nil && n > 0:
		return Readable
	default: // end of stream, or an error
		return Closed
	}
}
