package agent

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

// Run follows the list until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mu.Lock()
		address, wanted := a.address, a.watching || a.fetch
		cctx, cancel := context.WithCancel(ctx)
		a.cancelCall = cancel
		a.mu.Unlock()
		if !wanted {
			select {
			case <-a.wake:
			case <-cctx.Done():
			}
			cancel()
			continue
		}
		err := a.watchOn(cctx, address)
		moved := cctx.Err() != nil
		cancel()
		if err != nil && !moved {
			a.Counters.Failed.Add(1)
			a.log.Debug("discovery", zap.String("address", address), zap.Error(err))
			pause.For(ctx, retryDelay)
		}
	}
	return nil
}

// watchOn makes calls on one connection until it fails or nothing is wanted.
func (a *Agent) watchOn(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r := bufio.NewReader(conn)
	for {
		path, within, ok := a.nextRequest()
		if !ok {
			return nil
		}
		a.Counters.Calls.Add(1)
		body, last, err := get(conn, r, address, path, within)
		if err != nil {
			return err
		}
		l, odd, err := ParseList(body)
		if err != nil {
			return err
		}
		a.Counters.Odd.Add(int64(odd))
		if err := a.deliver(ctx, l, path == membersPath); err != nil || last {
			return err
		}
	}
}

// nextRequest returns the next call's path and how long it may take.
func (a *Agent) nextRequest() (path string, within time.Duration, wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetch || !a.hasList {
		if !a.watching && !a.fetch {
			return "", 0, false
		}
		a.fetch = false
		return membersPath, answerTimeout, true
	}
	if !a.watching {
		return "", 0, false
	}
	return fmt.Sprintf("%s?index=%d&wait=%d", membersPath, a.version, watchWait.Milliseconds()), watchWait + answerTimeout, true
}

// deliver hands a list over. Changes without entries only say that the watch lives. Changes to what is not held here,
// where the whole list was asked for or the version went back, count as told; the whole list is asked for next.
func (a *Agent) deliver(ctx context.Context, l *wire.List, askedWhole bool) error {
	a.mu.Lock()
	unbased := !l.Whole && (askedWhole || a.hasList && l.Version < a.version)
	a.hasList, a.version = !unbased, l.Version
	a.mu.Unlock()
	if l.Whole || len(l.Entries) > 0 {
		a.Counters.Lists.Add(1)
		if err := a.inbox.Post(ctx, pilot.Listed{List: l}); err != nil {
			return err
		}
	}
	if unbased {
		return fmt.Errorf("%w: changes to a version not held here, %d", ErrInvalidList, l.Version)
	}
	return nil
}
