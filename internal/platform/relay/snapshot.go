package relay

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pilot"
)

// snapshotRemaining returns how long a stream may still be telling what stands. Thousands of proxies take their time, above all on
// part of a core, and whoever is told late would be taken for one that has left.
func (s *Events) snapshotRemaining(i int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.subscriptions[i].standing == nil {
		return 0
	}
	return snapshotQuietPeriod - time.Since(s.subscriptions[i].lastStanding)
}

// endSnapshot ends the opening of a stream: after a gap, proxies that were not told have left.
func (s *Events) endSnapshot(ctx context.Context, i int) {
	s.mu.Lock()
	l := &s.subscriptions[i]
	var left []int
	if l.open && l.standing != nil {
		if l.afterGap {
			s.log.Info("proxies told after a gap", zap.Int("stream", i), zap.Int("standing", len(l.standing)),
				zap.Int("known", len(s.members)), zap.Bool("long", l.afterLongGap))
			for p := range s.members {
				if !l.standing[p] {
					left = append(left, p)
				}
			}
		}
		l.standing = nil
		for j := range s.subscriptions { // one at an address that was left has told what happened up to here
			if o := &s.subscriptions[j]; l.address == s.address && o.address != s.address && o.cancel != nil {
				o.cancel()
			}
		}
	}
	slices.Sort(left)
	for _, p := range left {
		delete(s.members, p)
		_ = s.inbox.Post(ctx, pilot.Unrelayed{Proxy: p}) // fails only when all ends
	}
	s.mu.Unlock()
}
