// Package connstate determines the state of a TCP connection without reading from it and without blocking.
package connstate

import (
	"errors"
	"net"
	"syscall"
)

// State is the state of a connection.
type State int

// States of a connection.
const (
	Idle     State = iota // open, no unread data
	Readable              // unread data, whether or not the peer has closed
	Closed                // closed or reset by the peer, or closed locally
)

// Peek returns a connection's state. A connection other than TCP is Idle. It may be used while another goroutine
// reads.
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
	err = raw.Control(func(fd uintptr) { // unlike raw.Read it does not wait for a reader
		state = peekSocket(int(fd))
	})
	if err != nil {
		return Closed
	}
	return state
}

// peekSocket returns the state of a non-blocking socket.
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
