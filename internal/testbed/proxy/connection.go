package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"indigousher/internal/wire"
)

// errNotSent means that no part of a request was sent, so that no endpoint can have executed it.
var errNotSent = errors.New("request was not sent")

// connection is an open connection and the requests that wait for an answer on it.
type connection struct {
	conn    net.Conn
	address string

	mu         sync.Mutex // guards the fields below
	writer     *wire.Writer
	lastNumber uint64                         // number of the last request; 0 before the first
	waiting    map[uint64]chan *wire.Response // by number of the request; each channel is buffered for its answer
	err        error                          // error that closed the connection; nil while it is open
}

func newConnection(conn net.Conn, address string) *connection {
	return &connection{
		conn:    conn,
		address: address,
		writer:  wire.NewWriter(conn),
		waiting: map[uint64]chan *wire.Response{},
	}
}

// roundTrip sends a request and waits for its answer.
func (c *connection) roundTrip(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	answer, err := c.send(req)
	if err != nil {
		return nil, err
	}
	defer c.forget(req.Number)
	select {
	case a, ok := <-answer:
		if !ok {
			return nil, fmt.Errorf("connection to %s closed before the answer", c.address)
		}
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// send assigns a number to a request, sends it and returns the channel that will receive the answer; the channel is
// closed if the connection fails. A write error is not errNotSent, because part or all of the request may have arrived.
func (c *connection) send(req *wire.Request) (<-chan *wire.Response, error) {
	answer := make(chan *wire.Response, 1)
	c.mu.Lock()
	if c.err != nil {
		defer c.mu.Unlock()
		return nil, errors.Join(errNotSent, c.err)
	}
	c.lastNumber++
	req.Number = c.lastNumber
	c.waiting[req.Number] = answer
	_ = c.conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout)) // if this fails, the write fails too
	_, err := c.writer.Write(req)
	c.mu.Unlock()
	if err != nil {
		c.fail(err)
		return nil, err
	}
	return answer, nil
}

func (c *connection) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

func (c *connection) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

func (c *connection) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) == 0
}

// fail closes the connection and the answer channels of all waiting requests. Only the first error is kept.
func (c *connection) fail(err error) {
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	for _, answer := range c.waiting {
		close(answer)
	}
	clear(c.waiting)
}

// receive reads answers and delivers them to the waiting requests until the connection fails.
func (c *connection) receive() {
	reader := wire.NewReader(c.conn, requestReadLimit)
	for {
		message, err := reader.Read()
		if err != nil {
			c.fail(err)
			return
		}
		answer, ok := message.(*wire.Response)
		if !ok {
			c.fail(wire.ErrType)
			return
		}
		c.deliver(answer)
	}
}

// deliver passes an answer to its request, or drops it if the request is no longer waiting.
func (c *connection) deliver(answer *wire.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.waiting[answer.Number]; waiting != nil {
		waiting <- answer
		delete(c.waiting, answer.Number)
	}
}
