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

	announced     map[int]bool // proxies that it has announced: true until it has reported that they left; nil if disconnected
	lastAnnounced time.Time    // when the snapshot last announced a proxy; initially openedAt
	afterGap      bool         // no other subscription was receiving events when this one opened
}

// beginSnapshot sets the state of a subscription that has just opened.
func (sub *subscription) beginSnapshot(now time.Time) {
	sub.state = receivingSnapshot
	sub.openedAt = now
	sub.lastReceived = now
	sub.announced = map[int]bool{}
	sub.lastAnnounced = now
	sub.afterGap = false
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
	now := s.now()
	sub := &s.subscriptions[i]
	sub.beginSnapshot(now)
	sub.afterGap = !s.otherIsLive(i, now)
	if !sub.afterGap || s.completeUntil.IsZero() { // no gap, or no events were received before it
		return
	}
	s.Counters.Gaps.Add(1)
	s.log.Warn("gap in the event streams", zap.Duration("duration", now.Sub(s.completeUntil)))
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
// receive a new snapshot if it may have missed events too, or if the two differ.
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
		if j == i || other.state == disconnected {
			continue
		}
		missedEvents := !other.afterGap && (snapshotIncomplete || !sub.coversOpeningOf(other))
		if missedEvents || s.differsFrom(other) {
			s.reopen(j, sub)
		}
	}
}

// differsFrom reports whether the connected proxies are not those that a subscription has announced. This happens if the
// one that has ended was ahead of it or behind it: if its last events were delivered late, they may have undone newer
// ones, and what would have corrected that was lost with it. Proxies that are missing from a snapshot after a gap are
// handled at its end. The caller holds mu.
func (s *EventStream) differsFrom(sub *subscription) bool {
	for proxy, connected := range sub.announced {
		if connected && s.proxies[proxy] == nil {
			return true
		}
	}
	snapshotAfterGap := sub.afterGap && sub.state == receivingSnapshot
	return !snapshotAfterGap && len(s.missingProxies(sub)) > 0
}

// coversOpeningOf reports whether the subscription has certainly delivered all events up to the time when another one
// opened. An open connection does not prove this, because it may have lost its peer unnoticed; data that was sent after
// the opening does.
func (sub *subscription) coversOpeningOf(other *subscription) bool {
	return sub.lastReceived.After(other.openedAt.Add(maxDeliveryDelay))
}

// reopen closes subscription j, so that it reconnects and receives a snapshot after a gap. That it needs one was detected
// only when another subscription ended. The caller holds mu.
func (s *EventStream) reopen(j int, ended *subscription) {
	sub := &s.subscriptions[j]
	s.Counters.LateGaps.Add(1)
	s.log.Warn("event stream may be incomplete, reopening it", zap.Int("stream", j),
		zap.Duration("open", s.now().Sub(sub.openedAt)), zap.Duration("other_silent", s.now().Sub(ended.lastReceived)))
	sub.disconnect()
	sub.cancel()
}
