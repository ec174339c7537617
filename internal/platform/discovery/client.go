// Package discovery follows the endpoint list of the platform's discovery agent with HTTP/1.1 watches, one at a time on
// one connection. It parses and validates lists and posts them; the planner decides what they mean. After an error or
// timeout it reconnects and continues from the version it has.
package discovery

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"indigousher/internal/controller"
)

// Client follows the list. All methods but Run may be called from any goroutine; Run is called once.
type Client struct {
	Counters Counters

	inbox controller.Inbox
	log   *zap.Logger
	wake  chan struct{} // capacity 1; holds a token if the fields below have changed since the last wait

	mu sync.Mutex // guards the fields below

	// Desired state.
	address    string
	watching   bool               // follow the list
	fetch      bool               // request the whole list once
	cancelCall context.CancelFunc // ends the call or wait in progress; nil before Run

	// Actual state.
	hasList bool // a list was posted, and changes to its version can be requested
	version int
}

// New returns a client that does nothing before Run. With watch it follows the list from the start.
func New(address string, watch bool, inbox controller.Inbox, log *zap.Logger) *Client {
	return &Client{address: address, watching: watch, inbox: inbox, log: log, wake: make(chan struct{}, 1)}
}

// Watch starts or stops following the list.
func (c *Client) Watch(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = on
	c.signal()
}

// Fetch requests the whole list once.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetch = true
	c.signal()
}

// SetAddress changes the address. The call in flight is cancelled, the version is kept.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address == address {
		return
	}
	c.address = address
	if c.cancelCall != nil {
		c.cancelCall()
	}
	c.signal()
}

// signal wakes Run if it waits.
func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
