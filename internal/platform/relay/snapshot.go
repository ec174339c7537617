package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/backoff"
	"indigousher/internal/controller"
)

// snapshotQuietPeriod is the time without an announcement of a proxy after which a subscription's snapshot is
// considered complete. The protocol does not mark the end of a snapshot.
const snapshotQuietPeriod = 200 * time.Millisecond

// awaitSnapshot starts a goroutine that waits until subscription i's snapshot is complete and then calls endSnapshot.
// The returned function, or the end of ctx, stops the goroutine; the function waits for it to return. Inputs are posted
// with postCtx.
func (s *EventStream) awaitSnapshot(ctx, postCtx context.Context, i int) (stop func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	var waiter sync.WaitGroup
	waiter.Go(func() {
		for wait := snapshotQuietPeriod; wait > 0; wait = s.snapshotRemaining(i) {
			if !backoff.Sleep(waitCtx, wait) {
				return
			}
		}
		s.endSnapshot(postCtx, i)
	})
	return func() {
		cancel()
		waiter.Wait()
	}
}

// snapshotRemaining returns the remaining quiet time before subscription i's snapshot is considered complete; 0 or less
// if it is complete. Each announcement restarts the quiet period, because announcing thousands of proxies takes a while
// with a fraction of a CPU core, and a proxy that is announced after the end would be treated as disconnected.
func (s *EventStream) snapshotRemaining(i int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state != receivingSnapshot {
		return 0
	}
	return snapshotQuietPeriod - s.now().Sub(sub.lastAnnounced)
}

// endSnapshot marks subscription i's snapshot as complete. If there was a gap in the events before the snapshot,
// proxies missing from it have disconnected, and that is posted to the controller.
func (s *EventStream) endSnapshot(ctx context.Context, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state != receivingSnapshot {
		return
	}
	var missing []int
	if sub.afterGap {
		s.log.Info("received snapshot of proxies after a gap in the event streams", zap.Int("stream", i),
			zap.Int("announced", len(sub.announced)), zap.Int("known", len(s.proxies)))
		missing = s.missingProxies(sub)
	}
	sub.state = live
	s.cancelAtOldAddress()
	for _, proxy := range missing {
		delete(s.proxies, proxy)
		_ = s.inbox.Post(ctx, controller.RelayProxyLeft{Proxy: proxy}) // fails only if the pilot is shutting down
	}
}

// missingProxies returns the connected proxies that a subscription has not announced, in ascending order. The caller
// holds mu.
func (s *EventStream) missingProxies(sub *subscription) (proxies []int) {
	for proxy := range s.proxies {
		if !sub.announced[proxy] {
			proxies = append(proxies, proxy)
		}
	}
	slices.Sort(proxies)
	return proxies
}

// cancelAtOldAddress closes the subscriptions at a previous address of the relay, which then reconnect at the current
// one. Each is closed only after another subscription has received its snapshot at the current address and the old one
// has delivered all events up to its opening, so that there is no gap in the events. The caller holds mu.
func (s *EventStream) cancelAtOldAddress() {
	for j := range s.subscriptions {
		old := &s.subscriptions[j]
		if old.address != s.address && old.cancel != nil && s.isReplaced(old) {
			old.cancel()
		}
	}
}

// isReplaced reports whether a subscription at the current address has received its snapshot and continues the events
// of an old one without a gap. The caller holds mu.
func (s *EventStream) isReplaced(old *subscription) bool {
	for i := range s.subscriptions {
		sub := &s.subscriptions[i]
		if sub.address != s.address || sub.state != live {
			continue
		}
		if old.state == disconnected || sub.afterGap || old.coversOpeningOf(sub) {
			return true
		}
	}
	return false
}
