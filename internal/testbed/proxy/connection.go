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

// errNotSent says that nothing of a request was sent, so that it can't have run.
var errNotSent = errors.New("the try never left")

// connection is an open connection with the requests that wait on it.
type connection struct {
	conn    net.Conn
	address string

	mu         sync.Mutex // guards what follows
	writer     *wire.Writer
	lastNumber uint64
	waiting    map[uint64]chan *wire.Response // by number; each has room for its one answer
	err        error                          // why the connection failed; nil while it is open
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
			return nil, fmt.Errorf("connection to %s broke", c.address)
		}
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// send numbers and sends a request, and returns where its answer will come; the channel is closed if the connection
// fails. The error of a write is not errNotSent, as part of the request, or all of it, may have arrived.
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
	_ = c.conn.SetWriteDeadline(time.Now().Add(requestWriteTimeout)) // if it failed, so will the write
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

// fail closes the connection and tells all requests that wait on it.
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

// receive hands each answer to its request until the connection fails.
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

// deliver hands an answer to its request, if that still waits.
func (c *connection) deliver(answer *wire.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.waiting[answer.Number]; waiting != nil {
		waiting <- answer
		delete(c.waiting, answer.Number)
	}
}
