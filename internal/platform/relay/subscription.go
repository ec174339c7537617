package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// subscription is one of the connections.
type subscription struct {
	open         bool
	openedAt     time.Time
	lastHeard    time.Time
	address      string
	cancel       context.CancelFunc
	standing     map[int]bool // told since the opening; nil: no longer counted
	afterGap     bool         // nothing else carried the events when it opened
	afterLongGap bool         // for so long that a proxy may have left and come back
	lastStanding time.Time    // a proxy that stands was told last
}

// subscribed notes that a stream begins, and whether there is a gap in the events before it.
func (s *Events) subscribed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, l := time.Now(), &s.subscriptions[i]
	l.open, l.openedAt, l.lastHeard, l.standing, l.afterGap, l.afterLongGap, l.lastStanding = true, now, now, map[int]bool{}, true, false, now
	for j := range s.subscriptions {
		if o := &s.subscriptions[j]; j != i && o.open && now.Sub(o.lastHeard) < liveWithin {
			l.afterGap = false
		}
	}
	if l.afterGap {
		if l.afterLongGap = !s.completeUntil.IsZero() && now.Sub(s.completeUntil) > maxShortGap; !s.completeUntil.IsZero() {
			s.Counters.Gaps.Add(1)
			s.log.Warn("gap in the event streams", zap.Duration("for", now.Sub(s.completeUntil)))
		}
	}
}

// unsubscribed notes that a stream has ended. Where it had fallen silent and the other began after it last said anything, or
// where it had yet to tell what stands after a gap, what happened in between neither has told: the other opens anew.
func (s *Events) unsubscribed(i int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := &s.subscriptions[i]
	if !l.open {
		return
	}
	untold := l.afterGap && l.standing != nil
	l.open, l.standing = false, nil
	if !untold && l.lastHeard.After(s.completeUntil) {
		s.completeUntil = l.lastHeard
	}
	for j := range s.subscriptions {
		if o := &s.subscriptions[j]; j != i && o.open && !o.afterGap && (untold || silent && o.openedAt.After(l.lastHeard)) {
			o.open, o.standing = false, nil
			o.cancel()
		}
	}
}
