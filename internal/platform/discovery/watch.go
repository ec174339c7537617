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
	// answerTimeout bounds a call, in addition to the wait.
	answerTimeout = 400 * time.Millisecond
	// dialTimeout bounds connecting.
	dialTimeout = 500 * time.Millisecond
	// retryDelay is the pause after an error.
	retryDelay = 50 * time.Millisecond
)

// membersPath is the path of the whole list.
const membersPath = "/catalog/members"

// Run follows the list until ctx ends.
func (a *Client) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.runOnce(ctx)
	}
	return nil
}

// runOnce watches on one connection or, if nothing is to be requested, waits. A change of the address ends either.
func (a *Client) runOnce(ctx context.Context) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.mu.Lock()
	address := a.address
	wanted := a.watching || a.fetch
	a.cancelCall = cancel
	a.mu.Unlock()
	if !wanted {
		select {
		case <-a.wake:
		case <-callCtx.Done():
		}
		return
	}
	err := a.watchOn(callCtx, address)
	if err == nil || callCtx.Err() != nil { // nothing more to request, or not at this address
		return
	}
	a.Counters.Failed.Add(1)
	a.log.Debug("discovery", zap.String("address", address), zap.Error(err))
	backoff.Sleep(ctx, retryDelay)
}

// watchOn makes calls on one connection until an error, until discovery closes it, or until nothing is to be
// requested.
func (a *Client) watchOn(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer func() { _ = conn.Close() }() // its data is not needed any more
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := bufio.NewReader(conn)
	for {
		path, timeout, wanted := a.nextRequest()
		if !wanted {
			return nil
		}
		a.Counters.Calls.Add(1)
		answer, err := get(conn, reader, address, path, timeout)
		if err != nil {
			return err
		}
		list, malformed, err := ParseList(answer.body)
		if err != nil {
			return err
		}
		a.Counters.Malformed.Add(int64(malformed))
		if err := a.deliver(ctx, list, path == membersPath); err != nil {
			return err
		}
		if answer.closing {
			return nil
		}
	}
}

// nextRequest returns the path and timeout of the next call, and whether there is one to make.
func (a *Client) nextRequest() (path string, timeout time.Duration, wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.watching && !a.fetch {
		return "", 0, false
	}
	if a.fetch || !a.hasList {
		a.fetch = false
		return membersPath, answerTimeout, true
	}
	path = fmt.Sprintf("%s?index=%d&wait=%d", membersPath, a.version, watchWait.Milliseconds())
	return path, watchWait + answerTimeout, true
}

// deliver posts a list and records its version. Changes without entries are only a keepalive. Changes without their
// base, because the whole list was requested or the version decreased, are posted as well, but then an error is
// returned and the whole list is requested next.
func (a *Client) deliver(ctx context.Context, list *wire.List, askedWhole bool) error {
	a.mu.Lock()
	withoutBase := !list.Whole && (askedWhole || a.hasList && list.Version < a.version)
	a.hasList = !withoutBase
	a.version = list.Version
	a.mu.Unlock()
	if list.Whole || len(list.Entries) > 0 {
		a.Counters.Lists.Add(1)
		if err := a.inbox.Post(ctx, controller.EndpointsListed{List: list}); err != nil {
			return err
		}
	}
	if withoutBase {
		return fmt.Errorf("%w: changes to a version not held here, %d", ErrInvalidList, list.Version)
	}
	return nil
}
