package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Spans by which gaps in the events are judged.
const (
	// liveWithin: a subscription that has said something since then carries the events. Signs of life come every
	// second.
	liveWithin = 1300 * time.Millisecond
	// maxShortGap: within a shorter gap no proxy can have left and come back, as that takes it longer.
	maxShortGap = 300 * time.Millisecond
)

// subscriptionState is how far a subscription is.
type subscriptionState int

// States of a subscription. subscribed leads from the first to the second, endSnapshot from the second to the third,
// unsubscribed from either back to the first.
const (
	disconnected      subscriptionState = iota // not open, or its events no longer count
	receivingSnapshot                          // it tells of the proxies that stand, mixed with what happens meanwhile
	live                                       // it tells what happens
)

// subscription is one of the connections that carry the events. EventStream.mu guards it.
type subscription struct {
	address string
	cancel  context.CancelFunc // ends the connection; nil before the first

	state     subscriptionState
	openedAt  time.Time
	lastHeard time.Time // the last event or sign of life, or the opening

	// Of the snapshot.
	announced     map[int]bool // proxies told since the opening; nil unless receivingSnapshot
	lastAnnounced time.Time    // when one was told last, or the opening
	afterGap      bool         // nothing else carried the events when it opened
	afterLongGap  bool         // for so long that a proxy may have left and come back
}

// beginSnapshot notes the opening.
func (sub *subscription) beginSnapshot(now time.Time) {
	sub.state = receivingSnapshot
	sub.openedAt = now
	sub.lastHeard = now
	sub.announced = map[int]bool{}
	sub.lastAnnounced = now
	sub.afterGap = false
	sub.afterLongGap = false
}

func (sub *subscription) disconnect() {
	sub.state = disconnected
	sub.announced = nil
}

// subscribed notes that a subscription begins, and whether there is a gap in the events before it.
func (s *Events) subscribed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sub := &s.subscriptions[i]
	sub.beginSnapshot(now)
	sub.afterGap = !s.otherIsLive(i, now)
	if !sub.afterGap || s.completeUntil.IsZero() { // the first of all has no events before it to miss
		return
	}
	gap := now.Sub(s.completeUntil)
	sub.afterLongGap = gap > maxShortGap
	s.Counters.Gaps.Add(1)
	s.log.Warn("gap in the event streams", zap.Duration("for", gap))
}

// otherIsLive returns whether another subscription than this one carries the events. The caller holds the lock.
func (s *Events) otherIsLive(i int, now time.Time) bool {
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if j != i && other.state != disconnected && now.Sub(other.lastHeard) < liveWithin {
			return true
		}
	}
	return false
}

// unsubscribed notes that a subscription has ended, and whether it did in silence. What neither has told, the other has
// to tell by opening anew: what happened after the one had fallen silent and before the other began, or what a snapshot
// after a gap would have told, had it come to its end.
func (s *Events) unsubscribed(i int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state == disconnected {
		return
	}
	snapshotMissed := sub.afterGap && sub.state == receivingSnapshot
	sub.disconnect()
	if !snapshotMissed && sub.lastHeard.After(s.completeUntil) {
		s.completeUntil = sub.lastHeard
	}
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if j == i || other.state == disconnected || other.afterGap {
			continue
		}
		begunInSilence := silent && other.openedAt.After(sub.lastHeard)
		if snapshotMissed || begunInSilence {
			other.disconnect()
			other.cancel()
		}
	}
}
