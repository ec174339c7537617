package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pause"
	"indigousher/internal/pilot"
)

// snapshotQuietPeriod: a subscription that has told of no proxy for so long has told all that stand. The stream itself
// doesn't say where its snapshot ends.
const snapshotQuietPeriod = 200 * time.Millisecond

// awaitSnapshot starts a goroutine that waits for the end of a subscription's snapshot. The function that it returns
// stops it and waits for its end.
func (s *Events) awaitSnapshot(ctx context.Context, i int) (stop func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	var waiter sync.WaitGroup
	waiter.Go(func() {
		for wait := snapshotQuietPeriod; wait > 0; wait = s.snapshotRemaining(i) {
			if !pause.For(waitCtx, wait) {
				return
			}
		}
		s.endSnapshot(ctx, i)
	})
	return func() {
		cancel()
		waiter.Wait()
	}
}

// snapshotRemaining returns how long a subscription may still be telling what stands; 0 or less: no longer. Thousands
// of proxies take their time, above all on part of a core, and one that is told late would be taken for one that has
// left.
func (s *Events) snapshotRemaining(i int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state != receivingSnapshot {
		return 0
	}
	return snapshotQuietPeriod - time.Since(sub.lastAnnounced)
}

// endSnapshot makes a subscription live: after a gap, proxies that its snapshot left out have left.
func (s *Events) endSnapshot(ctx context.Context, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state != receivingSnapshot {
		return
	}
	var departed []int
	if sub.afterGap {
		s.log.Info("proxies told after a gap", zap.Int("stream", i), zap.Int("standing", len(sub.announced)),
			zap.Int("known", len(s.members)), zap.Bool("long", sub.afterLongGap))
		departed = s.missingIn(sub)
	}
	sub.state = live
	sub.announced = nil
	if sub.address == s.address {
		s.cancelAtOldAddress()
	}
	for _, proxy := range departed {
		delete(s.members, proxy)
		_ = s.inbox.Post(ctx, pilot.Unrelayed{Proxy: proxy}) // fails only when ctx has ended
	}
}

// missingIn returns the members that a snapshot left out, by number. The caller holds the lock.
func (s *Events) missingIn(sub *subscription) (proxies []int) {
	for proxy := range s.members {
		if !sub.announced[proxy] {
			proxies = append(proxies, proxy)
		}
	}
	slices.Sort(proxies)
	return proxies
}

// cancelAtOldAddress ends subscriptions at an address that was left: they have told what happened until the one at the new
// address has told what stands. The caller holds the lock.
func (s *Events) cancelAtOldAddress() {
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if other.address != s.address && other.cancel != nil {
			other.cancel()
		}
	}
}
