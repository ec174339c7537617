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

// Limits of a connection that carries calls.
const (
	// dialTimeout is the time allowed for connecting to the relay.
	dialTimeout = 400 * time.Millisecond
	// responseTimeout is the time allowed for writing a request and reading its response. The relay responds within
	// 50 ms; the rest is margin for a loaded machine.
	responseTimeout = 300 * time.Millisecond
	// maxIdle is the time since its last call after which a connection is no longer reused. The relay closes idle
	// connections, and a call on a connection that is being closed has an unknown outcome.
	maxIdle = 300 * time.Millisecond
	// maxResponseBytes is the maximum size of a response body, in bytes.
	maxResponseBytes = 1 << 16
	// responseBufferBytes is the size of the read buffer. Response bodies have about 20 bytes.
	responseBufferBytes = 1024
)

// dialer opens connections to the relay, both for calls and for event subscriptions.
var dialer = net.Dialer{Timeout: dialTimeout}

// connection sends HTTP/1.1 requests, one at a time, on a TCP connection that it reopens when needed. It has no lock
// and must be used by a single goroutine.
type connection struct {
	conn     net.Conn      // nil if no connection is open
	address  string        // address of the relay that conn leads to
	reader   *bufio.Reader // reads from conn
	lastUsed time.Time     // end of the last call
}

// response is the relay's HTTP response to a call.
type response struct {
	body    []byte
	closing bool // the relay closes the connection after this response
}

// roundTrip sends a call to the relay at address and returns the response. It opens a connection if there is none that
// can be reused. Errors wrap errNotExecuted or errOutcomeUnknown.
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
	if _, err := c.conn.Write(encodeRequest(address, next)); err != nil { // the request was not sent completely
		return response{}, fmt.Errorf("%w: write request: %w", errNotExecuted, err)
	}
	resp, err := c.readResponse()
	c.lastUsed = time.Now()
	return resp, err
}

// reusable reports whether a connection to address is open, was used less than maxIdle ago and is still usable: the
// relay has neither closed it nor sent unexpected data on it.
func (c *connection) reusable(address string) bool {
	if c.conn == nil || c.address != address || time.Since(c.lastUsed) > maxIdle {
		return false
	}
	return connstate.Peek(c.conn) == connstate.Idle
}

// open connects to the relay at address.
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

// readResponse reads a response with its whole body, of at most maxResponseBytes.
func (c *connection) readResponse() (response, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, fmt.Errorf("%w: read response: %w", errOutcomeUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }() // fully read, or the caller closes the connection
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return response{}, fmt.Errorf("%w: read response: %w", errOutcomeUnknown, err)
	}
	return response{body: body, closing: resp.Close}, nil
}

// close closes the connection. It does nothing if none is open.
func (c *connection) close() {
	if c.conn == nil {
		return
	}
	_ = c.conn.Close() // no more data is needed from it
	c.conn = nil
}
