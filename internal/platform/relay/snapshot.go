package relay

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"indigousher/internal/pilot"
)

// opening returns how long a stream may still be telling what stands. Thousands of proxies take their time, above all on
// part of a core, and whoever is told late would be taken for one that has left.
func (n *Events) opening(i int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.streams[i].standing == nil {
		return 0
	}
	return standsFor - time.Since(n.streams[i].stands)
}

// stands ends the opening of a stream: after a gap, proxies that were not told have left.
func (n *Events) stands(ctx context.Context, i int) {
	n.mu.Lock()
	l := &n.streams[i]
	var left []int
	if l.open && l.standing != nil {
		if l.gap {
			n.log.Info("proxies told after a gap", zap.Int("stream", i), zap.Int("standing", len(l.standing)),
				zap.Int("known", len(n.members)), zap.Bool("long", l.long))
			for p := range n.members {
				if !l.standing[p] {
					left = append(left, p)
				}
			}
		}
		l.standing = nil
		for j := range n.streams { // one at an address that was left has told what happened up to here
			if o := &n.streams[j]; l.address == n.address && o.address != n.address && o.cut != nil {
				o.cut()
			}
		}
	}
	slices.Sort(left)
	for _, p := range left {
		delete(n.members, p)
		_ = n.inbox.Post(ctx, pilot.Unrelayed{Proxy: p}) // fails only when all ends
	}
	n.mu.Unlock()
}
