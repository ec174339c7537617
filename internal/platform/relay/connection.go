package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"indigousher/internal/platform/peek"
)

// Limits of a connection to the relay.
const (
	// dialTimeout is for the opening of a connection.
	dialTimeout = 400 * time.Millisecond
	// answerTimeout is from the request to the end of its answer: the relay takes 50 ms, and a loaded machine its time.
	answerTimeout = 300 * time.Millisecond
	// maxIdle is how long a connection may stand unused and be used again: the relay closes idle ones, and a call on
	// one that is being closed has an unknown outcome.
	maxIdle = 300 * time.Millisecond
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 1 << 16
	// answerBufferBytes is the size of the read buffer; answers are some 50 bytes with a short head.
	answerBufferBytes = 1024
)

// dialer opens connections to the relay, those of the event subscriptions as well.
var dialer = net.Dialer{Timeout: dialTimeout}

// connection makes HTTP/1.1 calls, one after another, on a connection that it opens anew where the last one is of no
// more use. It belongs to one goroutine.
type connection struct {
	conn     net.Conn // nil: none is open
	address  string
	reader   *bufio.Reader
	lastUsed time.Time
}

// response is what the relay said to a call.
type response struct {
	body    []byte
	closing bool // the relay takes no other call on this connection
}

// roundTrip sends a call and returns the relay's response. Its errors are errNotExecuted or errOutcomeUnknown.
func (c *connection) roundTrip(ctx context.Context, address string, next call) (response, error) {
	if !c.reusable(address) {
		c.close()
	}
	if c.conn == nil {
		if err := c.open(ctx, address); err != nil {
			return response{}, err
		}
	}
	if err := c.conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return response{}, fmt.Errorf("%w: set deadline: %w", errNotExecuted, err)
	}
	if _, err := c.conn.Write(encodeRequest(address, next)); err != nil { // the last byte has not left
		return response{}, fmt.Errorf("%w: write call: %w", errNotExecuted, err)
	}
	answer, err := c.readResponse()
	c.lastUsed = time.Now()
	return answer, err
}

// reusable returns whether the open connection, if any, leads to an address and nothing has happened on it since its
// last call.
func (c *connection) reusable(address string) bool {
	return c.conn != nil && c.address == address && time.Since(c.lastUsed) <= maxIdle && peek.Peek(c.conn) == peek.Idle
}

func (c *connection) open(ctx context.Context, address string) error {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("%w: dial relay: %w", errNotExecuted, err)
	}
	c.conn = conn
	c.address = address
	c.reader = bufio.NewReaderSize(conn, answerBufferBytes)
	return nil
}

// readResponse reads one response to its end.
func (c *connection) readResponse() (response, error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, fmt.Errorf("%w: read answer: %w", errOutcomeUnknown, err)
	}
	defer func() { _ = resp.Body.Close() }() // it has been read, or the connection is closed
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
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
	_ = c.conn.Close() // nothing on it is still wanted
	c.conn = nil
}
