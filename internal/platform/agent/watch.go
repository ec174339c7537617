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
		a.changed = cancel
		a.mu.Unlock()
		if !wanted {
			select {
			case <-a.wake:
			case <-cctx.Done():
			}
			cancel()
			continue
		}
		err := a.connected(cctx, address)
		moved := cctx.Err() != nil
		cancel()
		if err != nil && !moved {
			a.Counters.Failed.Add(1)
			a.log.Debug("discovery", zap.String("address", address), zap.Error(err))
			pause.For(ctx, failedPause)
		}
	}
	return nil
}

// connected makes calls on one connection until it fails or nothing is wanted.
func (a *Agent) connected(ctx context.Context, address string) error {
	conn, err := (&net.Dialer{Timeout: dialWithin}).DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("dial discovery: %w", err)
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	r := bufio.NewReader(conn)
	for {
		path, within, ok := a.next()
		if !ok {
			return nil
		}
		a.Counters.Calls.Add(1)
		body, last, err := call(conn, r, address, path, within)
		if err != nil {
			return err
		}
		l, odd, err := ParseList(body)
		if err != nil {
			return err
		}
		a.Counters.Odd.Add(int64(odd))
		if err := a.take(ctx, l, path == whole); err != nil || last {
			return err
		}
	}
}

// next returns the next call's path and how long it may take.
func (a *Agent) next() (path string, within time.Duration, wanted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fetch || !a.have {
		if !a.watching && !a.fetch {
			return "", 0, false
		}
		a.fetch = false
		return whole, patience, true
	}
	if !a.watching {
		return "", 0, false
	}
	return fmt.Sprintf("%s?index=%d&wait=%d", whole, a.index, wait.Milliseconds()), wait + patience, true
}

// take hands a list over. Changes without entries only say that the watch lives. Changes to what is not held here,
// where the whole list was asked for or the version went back, count as told; the whole list is asked for next.
func (a *Agent) take(ctx context.Context, l *wire.List, askedWhole bool) error {
	a.mu.Lock()
	unbased := !l.Whole && (askedWhole || a.have && l.Version < a.index)
	a.have, a.index = !unbased, l.Version
	a.mu.Unlock()
	if l.Whole || len(l.Entries) > 0 {
		a.Counters.Lists.Add(1)
		if err := a.inbox.Post(ctx, pilot.Listed{List: l}); err != nil {
			return err
		}
	}
	if unbased {
		return fmt.Errorf("%w: changes to a version not held here, %d", ErrList, l.Version)
	}
	return nil
}
