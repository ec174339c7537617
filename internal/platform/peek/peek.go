// Package peek looks at what a TCP connection's other side has done, without reading anything and without waiting.
package peek

import (
	"errors"
	"net"
	"syscall"
)

// State is what the other side has done last.
type State int

// What may have happened on a connection.
const (
	Idle     State = iota // nothing that has not been read
	Readable              // it has sent something that waits to be read
	Closed                // it has closed or reset the connection
)

// Peek looks at a connection. One that can't be looked at is Quiet.
func Peek(conn net.Conn) State {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return Idle
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Idle
	err = raw.Control(func(fd uintptr) { // Read would wait for whoever is reading
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err == nil && n > 0:
			state = Readable
		default:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
