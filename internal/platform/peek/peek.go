// Package peek looks at what the peer of a TCP connection has done, without reading anything and without waiting.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// State is what the peer has done last.
type State int

// States of a connection.
const (
	Idle     State = iota // nothing that has not been read
	Readable              // the peer has sent something that waits to be read
	Closed                // the peer has closed or reset the connection, or it is closed here
)

// Peek returns a connection's state. One that is no TCP connection counts as Idle.
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
	err = raw.Control(func(fd uintptr) { // raw.Read would wait for whoever is reading
		state = peekSocket(int(fd))
	})
	if err != nil {
		return Closed
	}
	return state
}

// peekSocket returns a socket's state.
func peekSocket(fd int) State {
	var buffer [1]byte
	n, _, err := syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err == nil && n > 0:
		return Readable
	default: // the end of the stream, or an error
		return Closed
	}
}
