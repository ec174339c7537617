package relay

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// Time limits for detecting gaps in the events.
const (
	// liveTimeout is the time without data after which a subscription is considered broken. The relay sends keepalives
	// every second.
	liveTimeout = 1300 * time.Millisecond
	// maxDeliveryDelay is the longest time for which data of a live subscription may be in transit or wait to be handled.
	maxDeliveryDelay = 200 * time.Millisecond
	// maxShortGap is the length of a gap up to which no proxy can have disconnected and reconnected, because
	// reconnecting takes longer.
	maxShortGap = 300 * time.Millisecond
)

// subscriptionState is the state of an event subscription.
type subscriptionState int

// States of a subscription. EventStream.subscribed changes the state from disconnected to receivingSnapshot,
// endSnapshot from receivingSnapshot to live, and unsubscribed from any state to disconnected.
const (
	disconnected      subscriptionState = iota // not connected, or being closed
	receivingSnapshot                          // the relay announces the connected proxies, interleaved with new events
	live                                       // the relay sends only new events
)

// subscription is the state of one of the redundant event subscriptions. EventStream.mu guards it.
type subscription struct {
	address string             // address of the relay that it was opened at
	cancel  context.CancelFunc // closes the connection; nil before the first connection

	state        subscriptionState
	openedAt     time.Time // when the relay accepted the subscription
	lastReceived time.Time // when the last event or keepalive was received; initially openedAt

	// The snapshot that the relay sends after the subscription opens.
	announced     map[int]bool // proxies announced in the snapshot; nil unless state is receivingSnapshot
	lastAnnounced time.Time    // when a proxy was last announced; initially openedAt
	afterGap      bool         // no other subscription was receiving events when this one opened
	afterLongGap  bool         // the gap was longer than maxShortGap, so proxies may have reconnected unnoticed
}

// beginSnapshot sets the state of a subscription that has just opened.
func (sub *subscription) beginSnapshot(now time.Time) {
	sub.state = receivingSnapshot
	sub.openedAt = now
	sub.lastReceived = now
	sub.announced = map[int]bool{}
	sub.lastAnnounced = now
	sub.afterGap = false
	sub.afterLongGap = false
}

// disconnect marks the subscription as disconnected. It does not close the connection.
func (sub *subscription) disconnect() {
	sub.state = disconnected
	sub.announced = nil
}

// subscribed records that subscription i has opened and whether there was a gap in the events before.
func (s *EventStream) subscribed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sub := &s.subscriptions[i]
	sub.beginSnapshot(now)
	sub.afterGap = !s.otherIsLive(i, now)
	if !sub.afterGap || s.completeUntil.IsZero() { // no gap, or no events were received before it
		return
	}
	gap := now.Sub(s.completeUntil)
	sub.afterLongGap = gap > maxShortGap
	s.Counters.Gaps.Add(1)
	s.log.Warn("gap in the event streams", zap.Duration("duration", gap))
}

// otherIsLive reports whether a subscription other than i is connected and received data within liveTimeout. The caller
// holds mu.
func (s *EventStream) otherIsLive(i int, now time.Time) bool {
	for j := range s.subscriptions {
		other := &s.subscriptions[j]
		if j != i && other.state != disconnected && now.Sub(other.lastReceived) < liveTimeout {
			return true
		}
	}
	return false
}

// unsubscribed records that subscription i has ended, for whatever reason. The other subscription must reconnect to
// receive a new snapshot if it may have missed events too. That is so in two cases: it opened so late that i may not have
// delivered the events before its opening; or i ended within a snapshot after a gap, so the events missed in the gap are
// still unknown.
func (s *EventStream) unsubscribed(i int) {
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
		if snapshotIncomplete || !sub.coversOpeningOf(other) {
			s.reopen(j, sub)
		}
	}
}

// coversOpeningOf reports whether the subscription has certainly delivered all events up to the time when another one
// opened. An open connection does not prove this, because it may have lost its peer unnoticed; data that was sent after
// the opening does.
func (sub *subscription) coversOpeningOf(other *subscription) bool {
	return sub.lastReceived.After(other.openedAt.Add(maxDeliveryDelay))
}

// reopen closes subscription j, so that it reconnects and receives a snapshot after a gap. The gap was detected only when
// the subscription ended that was to cover the opening of j. The caller holds mu.
func (s *EventStream) reopen(j int, ended *subscription) {
	sub := &s.subscriptions[j]
	s.Counters.LateGaps.Add(1)
	s.log.Warn("event stream opened in an unnoticed gap", zap.Int("stream", j),
		zap.Duration("silence", sub.openedAt.Sub(ended.lastReceived)))
	sub.disconnect()
	sub.cancel()
}
