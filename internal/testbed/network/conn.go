package network

import (
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// maxChunksInFlight bounds what is on its way in one direction at once; more waits with the sender.
	maxChunksInFlight = 256
	// chunkBytes bounds a chunk.
	chunkBytes = 16 << 10
	// retransmitDelay is what each loss of a chunk costs, as TCP's shortest retransmission timeout.
	retransmitDelay = 200 * time.Millisecond
)

// conn is the caller's end of a connection through the network.
type conn struct {
	net.Conn
	inner net.Conn
}

// LocalAddr implements net.Conn by the address of the real connection.
func (c *conn) LocalAddr() net.Addr { return c.inner.LocalAddr() }

// RemoteAddr implements net.Conn by the address of the real connection.
func (c *conn) RemoteAddr() net.Addr { return c.inner.RemoteAddr() }

// connect puts the network between the caller and an open connection.
func (n *Network) connect(inner net.Conn, from, to Place) net.Conn {
	near, far := net.Pipe()
	l := &link{network: n, a: from, b: to, done: make(chan struct{})}
	l.close = sync.OnceFunc(func() {
		close(l.done)
		_ = far.Close()
		_ = inner.Close()
	})
	// Both end when either end of the connection closes.
	go l.forward(far, inner)
	go l.forward(inner, far)
	return &conn{Conn: near, inner: inner}
}

// link is a connection between two places.
type link struct {
	network *Network
	a, b    Place
	done    chan struct{} // closed by close
	close   func()
}

// chunk is data on its way.
type chunk struct {
	data []byte
	due  time.Time // when it may arrive
}

// forward moves the data of one direction, each chunk when it is due and the path is open, and closes the link at the
// end of the stream.
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
	l.awaitDelivery(time.Time{}) // the end of a stream does not pass a cut either
}

// read puts what comes from a connection on its way until that closes.
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

// drawDelay returns how long a chunk is on its way, with its retransmissions.
func (l *link) drawDelay() time.Duration {
	path := l.network.path(l.a, l.b)
	delay := path.delay
	for l.network.lost(path.loss) {
		delay += retransmitDelay
	}
	return delay
}

// awaitDelivery waits until a time, and then until the path is open. It returns false if the link closes meanwhile.
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
