package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"indigousher/internal/platform/connstate"
)

// Limits of a connection for calls.
const (
	// dialTimeout bounds connecting to the relay.
	dialTimeout = 400 * time.Millisecond
	// responseTimeout bounds writing a request and reading its answer. The relay answers within 50 ms; the rest is margin
	// for a loaded machine.
	responseTimeout = 300 * time.Millisecond
	// maxIdle is how long a connection may be unused and still be reused. The relay closes idle connections, and a
	// call on a connection that is being closed has an unknown outcome.
	maxIdle = 300 * time.Millisecond
	// maxResponseBytes bounds the body of an answer.
	maxResponseBytes = 1 << 16
	// responseBufferBytes is the size of the read buffer. Answers have a body of some 20 bytes.
	responseBufferBytes = 1024
)

// dialer opens connections to the relay, for calls and for event subscriptions.
var dialer = net.Dialer{Timeout: dialTimeout}

// connection makes HTTP/1.1 calls, one at a time, on a TCP connection that it reopens when needed. It is owned by one
// goroutine and has no lock.
type connection struct {
	conn     net.Conn // nil if none is open
	address  string
	reader   *bufio.Reader
	lastUsed time.Time
}

// response is the relay's response to a call.
type response struct {
	body    []byte
	closing bool // the relay closes the connection after it
}

// roundTrip sends a call and returns the response. Its errors wrap errNotExecuted or errOutcomeUnknown.
func (c *connection) roundTrip(ctx context.Context, address string, next call) (response, error) {
	if !c.reusable(address) {
		c.close()
	}
	if c.conn == nil {
		if err := c.open(ctx, address); err != nil {
			return response{}, err
		}
	}
	if err := c.conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return response{}, fmt.Errorf("%w: set deadline: %w", errNotExecuted, err)
	}
	if _, err := c.conn.Write(encodeRequest(address, next)); err != nil { // the last byte was not sent
		return response{}, fmt.Errorf("%w: write call: %w", errNotExecuted, err)
	}
	resp, err := c.readResponse()
	c.lastUsed = time.Now()
	return resp, err
}

// reusable reports whether the open connection, if any, leads to address and is still usable: the relay has neither
// closed it nor sent anything unexpected.
func (c *connection) reusable(address string) bool {
	if c.conn == nil || c.address != address || time.Since(c.lastUsed) > maxIdle {
		return false
	}
	return connstate.Peek(c.conn) == connstate.Idle
}

func (c *connection) open(ctx context.Context, address string) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%w: dial relay: %w", errNotExecuted, err)
	}
	c.conn = conn
	c.address = address
	c.reader = bufio.NewReaderSize(conn, responseBufferBytes)
	return nil
}

// readResponse reads one response and its whole body.
func (c *connection) readResponse() (response, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, fmt.Errorf("%w: read answer: %w", errOutcomeUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or the connection is closed next
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("%w: read answer: %w", errOutcomeUnknown, err)
	}
	return response{body: body, closing: resp.Close}, nil
}

// close closes the connection, if one is open.
func (c *connection) close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Close() // its data is not needed any more
	c.conn = nil
}
