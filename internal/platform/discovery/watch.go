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

// Times of the watch. The wait is short so that a dead call is detected early: the platform counts news as delivered
// 2 s after the end of a wait, whether they were received or not.
const (
	// watchWait is how long discovery may delay its answer until the list changes.
	watchWait = 1000 * time.Millisecond
	// responseTimeout bounds a call, in addition to the wait.
	responseTimeout = 400 * time.Millisecond
	// dialTimeout bounds connecting.
	dialTimeout = 500 * time.Millisecond
	// retryDelay is the pause after an error.
	retryDelay = 50 * time.Millisecond
)

// membersPath is the path of the whole list.
const membersPath = "/catalog/members"

// Run follows the list until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		c.runOnce(ctx)
	}
	return nil
}

// runOnce watches on one connection or, if nothing is to be requested, waits. A change of the address ends either.
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
	if err == nil || callCtx.Err() != nil { // nothing more to request, or not at this address
		return
	}
	c.Counters.Failed.Add(1)
	c.log.Debug("discovery watch failed", zap.String("address", address), zap.Error(err))
	backoff.Sleep(ctx, retryDelay)
}

// watchOn makes calls on one connection until an error, until discovery closes it, or until nothing is to be
// requested.
func (c *Client) watchOn(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer func() { _ = conn.Close() }() // its data is not needed any more
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

// nextRequest returns the path and timeout of the next call, and whether there is one to make.
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

// deliver posts a list and records its version. Changes without entries are only a keepalive. Changes without their
// base, because the whole list was requested or the version decreased, are posted as well, but then an error is
// returned and the whole list is requested next.
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
		return fmt.Errorf("%w: changes to a version not held here, %d", ErrInvalidList, list.Version)
	}
	return nil
}
