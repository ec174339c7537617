package network

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxChunksInFlight is the maximum number of chunks in flight in each direction of a link; beyond it writes block.
	maxChunksInFlight = 256
	// chunkBytes is the maximum size of a chunk, in bytes.
	chunkBytes = 16 << 10
	// retransmitDelay is the delay that each loss of a chunk adds. It is the minimum retransmission timeout of TCP on
	// Linux.
	retransmitDelay = 200 * time.Millisecond
)

// conn is the dialing side's end of a connection through the simulated network.
type conn struct {
	net.Conn
	inner net.Conn // the real connection
}

// LocalAddr implements net.Conn. It returns the address of the real connection.
func (c *conn) LocalAddr() net.Addr { return c.inner.LocalAddr() }

// RemoteAddr implements net.Conn. It returns the address of the real connection.
func (c *conn) RemoteAddr() net.Addr { return c.inner.RemoteAddr() }

// connect returns a connection whose data passes through the simulated network to and from an open connection.
func (n *Network) connect(inner net.Conn, from, to Place) net.Conn {
	near, far := net.Pipe()
	l := &link{network: n, a: from, b: to, done: make(chan struct{})}
	l.close = sync.OnceFunc(func() {
		close(l.done)
		_ = far.Close()
		_ = inner.Close()
	})
	// Both goroutines end when either end of the connection closes.
	go l.forward(far, inner)
	go l.forward(inner, far)
	return &conn{Conn: near, inner: inner}
}

// link forwards the data of one connection between two places.
type link struct {
	network *Network
	a, b    Place
	done    chan struct{} // closed when the link is closed
	close   func()        // closes both connections and done; safe to call more than once
}

// chunk is a piece of data in flight.
type chunk struct {
	data []byte
	due  time.Time // earliest time of delivery
}

// forward delivers the data of one direction. It delivers each chunk once it is due and the path is open, and closes
// the link at the end of the stream.
func (l *link) forward(from, to net.Conn) {
	inFlight := make(chan chunk, maxChunksInFlight)
	go l.read(from, inFlight) // ends when from closes, or the link does
	defer l.close()
	for c := range inFlight {
		if !l.awaitDelivery(c.due) {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
	l.awaitDelivery(time.Time{}) // a cut also delays the end of a stream
}

// read reads chunks from a connection and queues them for delivery until the connection or the link closes.
func (l *link) read(from net.Conn, inFlight chan<- chunk) {
	defer close(inFlight)
	buffer := make([]byte, chunkBytes)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			delay := l.drawDelay()
			select {
			case inFlight <- chunk{slices.Clone(buffer[:count]), time.Now().Add(delay)}:
			case <-l.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drawDelay returns the delay of a chunk: that of the path, plus retransmitDelay for each random loss.
func (l *link) drawDelay() time.Duration {
	path := l.network.path(l.a, l.b)
	delay := path.delay
	for l.network.drawLoss(path.loss) {
		delay += retransmitDelay
	}
	return delay
}

// awaitDelivery waits until due and then until the path is open. It returns false if the link is closed first.
func (l *link) awaitDelivery(due time.Time) bool {
	if !sleep(time.Until(due), l.done) {
		return false
	}
	for {
		path := l.network.path(l.a, l.b)
		if path.open {
			return true
		}
		select {
		case <-path.changed:
		case <-l.done:
			return false
		}
	}
}
