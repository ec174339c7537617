// Package discovery keeps the pilot's endpoint list up to date with the platform's discovery agent. It uses HTTP/1.1
// long polling, with one request at a time on one connection. It parses and validates each list and posts it to the
// controller; the planner interprets it. After an error or timeout it reconnects and continues from the last version.
package discovery

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"indigousher/internal/controller"
)

// Client watches the endpoint list. Run must be called once; all other methods may be called from any goroutine.
type Client struct {
	Counters Counters

	inbox controller.Inbox
	log   *zap.Logger
	wake  chan struct{} // capacity 1; holds a value if the desired state has changed since Run last waited

	mu sync.Mutex // guards the fields below

	// Desired state.
	address          string
	watching         bool               // keep requesting changes to the list
	fetchesRequested int                // number of calls of Fetch
	cancelCall       context.CancelFunc // cancels the request or wait in progress; nil before Run

	// Actual state.
	hasList       bool // a list was posted and changes relative to version can be requested
	version       int  // version of the last posted list
	fetchesServed int  // number of calls of Fetch before the request for the last posted whole list
}

// New returns a client that is idle until Run is called. If watch is true, it watches the list from the start,
// otherwise it makes no request before Watch or Fetch is called.
func New(address string, watch bool, inbox controller.Inbox, log *zap.Logger) *Client {
	return &Client{address: address, watching: watch, inbox: inbox, log: log, wake: make(chan struct{}, 1)}
}

// Watch starts or stops watching the list for changes.
func (c *Client) Watch(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watching = on
	c.signal()
}

// Fetch requests the whole list once, even if the client is not watching. The request is repeated until it is answered.
func (c *Client) Fetch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fetchesRequested++
	c.signal()
}

// fetchPending reports whether Fetch was called after the request for the last posted whole list. The caller holds mu.
func (c *Client) fetchPending() bool { return c.fetchesServed < c.fetchesRequested }

// SetAddress changes the address of the discovery agent. A request in flight is cancelled. The list's version is kept,
// so the next request at the new address asks only for changes.
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

// signal wakes Run if it is waiting for a change of the desired state.
func (c *Client) signal() {
	select {
	case c.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}
