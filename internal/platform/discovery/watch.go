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
	hasRequest := c.watching || c.fetchPending()
	c.cancelCall = cancel
	c.mu.Unlock()
	if !hasRequest {
		select {
		case <-c.wake:
		case <-callCtx.Done():
		}
		return
	}
	err := c.watchOn(callCtx, ctx, address)
	if err == nil || callCtx.Err() != nil { // no more requests, the agent closed the connection, or it was cancelled
		return
	}
	c.Counters.Failed.Add(1)
	c.log.Debug("discovery watch failed", zap.String("address", address), zap.Error(err))
	backoff.Sleep(ctx, retryDelay)
}

// watchOn connects to address and makes requests until an error occurs or ctx is cancelled. It returns nil when there is
// nothing more to request or the agent closes the connection. Lists are posted with postCtx, because a list that has been
// received must be posted even if a change of the address cancels ctx meanwhile.
func (c *Client) watchOn(ctx, postCtx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer func() { _ = conn.Close() }() // no more data is needed from it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	for {
		next, ok := c.nextRequest()
		if !ok {
			return nil
		}
		c.Counters.Calls.Add(1)
		resp, err := get(conn, reader, address, next.path, next.timeout)
		if err != nil {
			return err
		}
		list, malformed, err := ParseList(resp.body)
		if err != nil {
			return err
		}
		c.Counters.Malformed.Add(int64(malformed))
		if err := c.deliver(postCtx, list, next); err != nil {
			return err
		}
		if resp.closing {
			return nil
		}
	}
}

// request is a request for the list.
type request struct {
	path    string
	whole   bool          // for the whole list instead of changes
	timeout time.Duration // for sending it and receiving the response
	fetches int           // value of Client.fetchesRequested when it was made; a whole request serves them all
}

// nextRequest returns the next request. ok is false if there is nothing to request.
func (c *Client) nextRequest() (next request, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.watching && !c.fetchPending() {
		return request{}, false
	}
	if c.fetchPending() || !c.hasList {
		return request{path: membersPath, whole: true, timeout: responseTimeout, fetches: c.fetchesRequested}, true
	}
	path := fmt.Sprintf("%s?index=%d&wait=%d", membersPath, c.version, watchWait.Milliseconds())
	return request{path: path, timeout: watchWait + responseTimeout}, true
}

// deliver posts the list of a response to the controller and records its version. A response with no changes is not
// posted. A list that cannot be posted is not recorded, so it is requested again.
//
// If the response contains only changes although the whole list was requested, or changes with a version lower than the
// last one, the list that they apply to is unknown here. They are posted, but deliver returns an error and the next
// request is for the whole list.
func (c *Client) deliver(ctx context.Context, list *wire.List, answered request) error {
	if list.Whole || len(list.Entries) > 0 {
		if err := c.inbox.Post(ctx, controller.EndpointsListed{List: list}); err != nil {
			return err
		}
		c.Counters.Lists.Add(1)
	}
	if !c.record(list, answered) {
		return fmt.Errorf("%w: changes with version %d do not apply to the local list", ErrInvalidList, list.Version)
	}
	return nil
}

// record records that a list was received and posted. It returns false if the list contains changes to an unknown list.
func (c *Client) record(list *wire.List, answered request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	baseMissing := !list.Whole && (answered.whole || c.hasList && list.Version < c.version)
	c.hasList = !baseMissing
	c.version = list.Version
	if list.Whole {
		c.fetchesServed = max(c.fetchesServed, answered.fetches)
	}
	return !baseMissing
}
