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

// snapshotQuietPeriod: a subscription that has announced no proxy for this long has announced all of them. The
// protocol does not mark the end of a snapshot.
const snapshotQuietPeriod = 200 * time.Millisecond

// awaitSnapshot starts a goroutine that waits for the end of subscription i's snapshot. The returned function stops
// the goroutine and waits for it to return.
func (s *EventStream) awaitSnapshot(ctx context.Context, i int) (stop func()) {
	waitCtx, cancel := context.WithCancel(ctx)
	var waiter sync.WaitGroup
	waiter.Go(func() {
		for wait := snapshotQuietPeriod; wait > 0; wait = s.snapshotRemaining(i) {
			if !backoff.Sleep(waitCtx, wait) {
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

// snapshotRemaining returns how long the snapshot may still continue; 0 or less if it is over. Announcing thousands
// of proxies takes a while, especially with part of a core, and a proxy announced after the end would be taken for
// disconnected.
func (s *EventStream) snapshotRemaining(i int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state != receivingSnapshot {
		return 0
	}
	return snapshotQuietPeriod - time.Since(sub.lastAnnounced)
}

// endSnapshot makes subscription i live. After a gap, proxies missing in its snapshot have disconnected.
func (s *EventStream) endSnapshot(ctx context.Context, i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state != receivingSnapshot {
		return
	}
	var missing []int
	if sub.afterGap {
		s.log.Info("proxies announced after a gap in the event streams", zap.Int("stream", i), zap.Int("announced", len(sub.announced)),
			zap.Int("known", len(s.proxies)), zap.Bool("long", sub.afterLongGap))
		missing = s.missingProxies(sub)
	}
	sub.state = live
	sub.announced = nil
	if sub.address == s.address {
		s.cancelAtOldAddress()
	}
	for _, proxy := range missing {
		delete(s.proxies, proxy)
		_ = s.inbox.Post(ctx, controller.RelayProxyLeft{Proxy: proxy}) // fails only after ctx has ended
	}
}

// missingProxies returns the members missing in a subscription's snapshot, in ascending order. The caller holds mu.
func (s *EventStream) missingProxies(sub *subscription) (proxies []int) {
	for proxy := range s.proxies {
		if !sub.announced[proxy] {
			proxies = append(proxies, proxy)
		}
	}
	slices.Sort(proxies)
	return proxies
}

// cancelAtOldAddress closes the subscriptions at a former address. They delivered the events until the one at the new
// address had received its snapshot. The caller holds mu.
func (s *EventStream) cancelAtOldAddress() {
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if other.address != s.address && other.cancel != nil {
			other.cancel()
		}
	}
}
