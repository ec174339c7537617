// Package connstate looks at what a TCP connection's other side has done, without reading anything and without waiting.
package connstate

import (
	"errors"
	"net"
	"syscall"
)

// State is what the other side has done last.
type State int

// What may have happened on a connection.
const (
	Quiet State = iota // nothing that has not been read
	Data               // it has sent something that waits to be read
	Gone               // it has closed or reset the connection
)

// At looks at a connection. One that can't be looked at is Quiet.
func At(conn net.Conn) State {
	t, ok := conn.(*net.TCPConn)
	if !ok {
		return Quiet
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return Gone
	}
	state := Quiet
	err = raw.Control(func(fd uintptr) { // Read would wait for whoever is reading
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		case err == nil && n > 0:
			state = Data
		default:
			state = Gone
		}
	})
	if err != nil {
		return Gone
	}
	return state
}
