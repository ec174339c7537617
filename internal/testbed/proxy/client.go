package proxy

import (
	"context"
	"errors"
	"time"

	"indigousher/internal/wire"
)

// Client is a client's connection to a proxy.
type Client struct{ pool pool }

// NewClient returns a client that has not dialled. The timeout is that of a dial.
func NewClient(address string, dial Dial, timeout time.Duration) *Client {
	return &Client{pool{address: address, dial: dial, timeout: timeout}}
}

// Do sends a request and waits for its answer.
func (c *Client) Do(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	return c.pool.roundTrip(ctx, req)
}

// NotSent returns whether an error of Do says that nothing of the request was sent.
func NotSent(err error) bool { return errors.Is(err, errNotSent) }

// Close ends the connection.
func (c *Client) Close() { c.pool.close() }
