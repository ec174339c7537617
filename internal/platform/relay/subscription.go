package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Limits by which gaps in the events are judged.
const (
	// liveTimeout: a subscription that received data since then is working. Keepalives are sent every second.
	liveTimeout = 1300 * time.Millisecond
	// maxShortGap: in a gap up to this long no proxy can have disconnected and reconnected, as reconnecting takes
	// longer.
	maxShortGap = 300 * time.Millisecond
)

// subscriptionState is the state of a subscription.
type subscriptionState int

// States of a subscription. Transitions: subscribed from disconnected to receivingSnapshot, endSnapshot from there to
// live, unsubscribed from either to disconnected.
const (
	disconnected      subscriptionState = iota // closed, or about to be
	receivingSnapshot                          // announces the connected proxies, mixed with new events
	live                                       // delivers new events
)

// subscription is one of the redundant connections. EventStream.mu guards it.
type subscription struct {
	address string
	cancel  context.CancelFunc // closes the connection; nil before the first one

	state        subscriptionState
	openedAt     time.Time
	lastReceived time.Time // time of the last event or keepalive, or of opening

	// The snapshot.
	announced     map[int]bool // proxies announced since opening; nil unless receivingSnapshot
	lastAnnounced time.Time    // time of the last announcement, or of opening
	afterGap      bool         // the other subscription was not working when this one opened
	afterLongGap  bool         // for longer than maxShortGap: proxies may have reconnected unnoticed
}

// beginSnapshot resets the subscription when it opens.
func (sub *subscription) beginSnapshot(now time.Time) {
	sub.state = receivingSnapshot
	sub.openedAt = now
	sub.lastReceived = now
	sub.announced = map[int]bool{}
	sub.lastAnnounced = now
	sub.afterGap = false
	sub.afterLongGap = false
}

func (sub *subscription) disconnect() {
	sub.state = disconnected
	sub.announced = nil
}

// subscribed records that subscription i has opened, and whether there is a gap in the events before it.
func (s *EventStream) subscribed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sub := &s.subscriptions[i]
	sub.beginSnapshot(now)
	sub.afterGap = !s.otherIsLive(i, now)
	if !sub.afterGap || s.completeUntil.IsZero() { // nothing was received before, so nothing was missed
		return
	}
	gap := now.Sub(s.completeUntil)
	sub.afterLongGap = gap > maxShortGap
	s.Counters.Gaps.Add(1)
	s.log.Warn("gap in the event streams", zap.Duration("duration", gap))
}

// otherIsLive reports whether a subscription other than i is working. The caller holds mu.
func (s *EventStream) otherIsLive(i int, now time.Time) bool {
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if j != i && other.state != disconnected && now.Sub(other.lastReceived) < liveTimeout {
			return true
		}
	}
	return false
}

// unsubscribed records that subscription i has ended, and whether by silence. The other one has to reopen, and so
// receive a new snapshot, if it misses events as well: those between the last data of the silent one and its own
// opening, or those that an unfinished snapshot after a gap would have revealed.
func (s *EventStream) unsubscribed(i int, timedOut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &s.subscriptions[i]
	if sub.state == disconnected {
		return
	}
	snapshotIncomplete := sub.afterGap && sub.state == receivingSnapshot
	sub.disconnect()
	if !snapshotIncomplete && sub.lastReceived.After(s.completeUntil) {
		s.completeUntil = sub.lastReceived
	}
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if j == i || other.state == disconnected || other.afterGap {
			continue
		}
		openedDuringSilence := timedOut && other.openedAt.After(sub.lastReceived)
		if snapshotIncomplete || openedDuringSilence {
			other.disconnect()
			other.cancel()
		}
	}
}
