package proxy

import (
	"context"
	"errors"
	"time"

	"indigousher/internal/wire"
)

// Client sends requests to one proxy over a shared connection. It is safe for concurrent use.
type Client struct{ pool pool }

// NewClient returns a client of the proxy at address. It dials when the first request is sent; timeout is the dial
// timeout.
func NewClient(address string, dial Dial, timeout time.Duration) *Client {
	return &Client{pool{address: address, dial: dial, timeout: timeout}}
}

// Do sends a request and waits for its answer. It overwrites req.Number.
func (c *Client) Do(ctx context.Context, req *wire.Request) (*wire.Response, error) {
	return c.pool.roundTrip(ctx, req)
}

// NotSent reports whether an error returned by Do means that no part of the request was sent.
func NotSent(err error) bool { return errors.Is(err, errNotSent) }

// Close closes the connection immediately.
func (c *Client) Close() { c.pool.close() }
