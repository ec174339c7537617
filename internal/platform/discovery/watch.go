package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

// Timeouts of the watch. watchWait is short so that a request without a response is detected early: 2 s after the end
// of a wait the platform counts changes as delivered, whether or not the pilot has received them.
const (
	// watchWait is how long the agent may hold back its response while the list does not change.
	watchWait = 1000 * time.Millisecond
	// responseTimeout is the time allowed for a request and its response, in addition to watchWait.
	responseTimeout = 400 * time.Millisecond
	// dialTimeout is the time allowed for opening a connection.
	dialTimeout = 500 * time.Millisecond
	// retryDelay is the pause before reconnecting after an error.
	retryDelay = 50 * time.Millisecond
)

// membersPath is the request path of the whole list. With the parameters index and wait it returns changes only.
const membersPath = "/catalog/members"

// Run keeps the list up to date until ctx is cancelled. It returns nil.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.runOnce(ctx)
	}
	return nil
}

// runOnce makes requests on one connection, or waits for a change of the desired state if there is nothing to request.
// A change of the address ends both. After an error it pauses for retryDelay.
func (c *Client) runOnce(ctx context.Context) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	address := c.address
	hasRequest := c.watching || c.fetch
	c.cancelCall = cancel
	c.mu.Unlock()
	if !hasRequest {
		select {
		case <-c.wake:
		case <-callCtx.Done():
		}
		return
	}
	err := c.watchOn(callCtx, address)
	if err == nil || callCtx.Err() != nil { // no more requests, the agent closed the connection, or it was cancelled
		return
	}
	c.Counters.Failed.Add(1)
	c.log.Debug("discovery watch failed", zap.String("address", address), zap.Error(err))
	backoff.Sleep(ctx, retryDelay)
}

// watchOn connects to address and makes requests until an error occurs. It returns nil when there is nothing more to
// request or the agent closes the connection.
func (c *Client) watchOn(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer func() { _ = conn.Close() }() // no more data is needed from it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	for {
		path, timeout, ok := c.nextRequest()
		if !ok {
			return nil
		}
		c.Counters.Calls.Add(1)
		resp, err := get(conn, reader, address, path, timeout)
		if err != nil {
			return err
		}
		list, malformed, err := ParseList(resp.body)
		if err != nil {
			return err
		}
		c.Counters.Malformed.Add(int64(malformed))
		if err := c.deliver(ctx, list, path == membersPath); err != nil {
			return err
		}
		if resp.closing {
			return nil
		}
	}
}

// nextRequest returns the path and timeout of the next request. ok is false if there is nothing to request.
func (c *Client) nextRequest() (path string, timeout time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching && !c.fetch {
		return "", 0, false
	}
	if c.fetch || !c.hasList {
		c.fetch = false
		return membersPath, responseTimeout, true
	}
	path = fmt.Sprintf("%s?index=%d&wait=%d", membersPath, c.version, watchWait.Milliseconds())
	return path, watchWait + responseTimeout, true
}

// deliver posts a list to the controller and records its version. A response with no changes is not posted.
// requestedWhole means that the request was for the whole list. If the response contains only changes although the
// whole list was requested, or changes with a version lower than the last one, the list that they apply to is unknown
// here. They are posted, but deliver returns an error and the next request is for the whole list.
func (c *Client) deliver(ctx context.Context, list *wire.List, requestedWhole bool) error {
	c.mu.Lock()
	baseMissing := !list.Whole && (requestedWhole || c.hasList && list.Version < c.version)
	c.hasList = !baseMissing
	c.version = list.Version
	c.mu.Unlock()
	if list.Whole || len(list.Entries) > 0 {
		c.Counters.Lists.Add(1)
		if err := c.inbox.Post(ctx, controller.EndpointsListed{List: list}); err != nil {
			return err
		}
	}
	if baseMissing {
		return fmt.Errorf("%w: changes with version %d do not apply to the local list", ErrInvalidList, list.Version)
	}
	return nil
}
