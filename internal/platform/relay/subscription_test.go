package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// TestSilentSubscriptionReopensTheOther checks that if one subscription times out, the other one is reopened if it
// opened after the first last received data. Neither has delivered the events in between.
func TestSilentSubscriptionReopensTheOther(t *testing.T) {
	events := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
	cancelled := 0
	events.subscriptions[0].cancel = func() {}
	events.subscriptions[1].cancel = func() { cancelled++ }
	events.subscribed(0)
	events.endSnapshot(context.Background(), 0)
	time.Sleep(time.Millisecond)
	events.subscribed(1)
	events.unsubscribed(0)
	assert.Equal(t, 1, cancelled)
}

// TestIncompleteSnapshotReopensTheOther checks that if a subscription ends within its snapshot after a gap, the other one is
// reopened although the first has covered its opening: what was missed in the gap is still unknown.
func TestIncompleteSnapshotReopensTheOther(t *testing.T) {
	for name, complete := range map[string]bool{"incomplete": false, "complete": true} {
		t.Run(name, func(t *testing.T) {
			events := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
			cancelled := 0
			events.subscriptions[0].cancel = func() {}
			events.subscriptions[1].cancel = func() { cancelled++ }
			events.subscribed(0)
			events.subscribed(1)
			if complete {
				events.endSnapshot(context.Background(), 0)
			}
			openedLongAgo(t, events)
			events.unsubscribed(0)
			assert.Equal(t, !complete, cancelled == 1)
		})
	}
}

// TestEndedSubscriptionReopensTheOther checks that if one subscription ends, the other one is reopened if it opened after
// the first last received data: neither has delivered the events in between. Review case 6: it was not reopened if the
// first one ended by a reset. Data received within maxDeliveryDelay may have been sent before the other one opened.
func TestEndedSubscriptionReopensTheOther(t *testing.T) {
	for name, c := range map[string]struct {
		receivedAfter time.Duration // from the opening of the other one to the last data of the one that ends
		reopened      bool
	}{
		"received nothing after the opening":   {-time.Millisecond, true},
		"received data that may be older":      {maxDeliveryDelay / 2, true},
		"received data sent after the opening": {2 * maxDeliveryDelay, false},
	} {
		t.Run(name, func(t *testing.T) {
			events := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
			cancelled := 0
			events.subscriptions[0].cancel = func() {}
			events.subscriptions[1].cancel = func() { cancelled++ }
			events.subscribed(0)
			events.endSnapshot(context.Background(), 0)
			events.subscribed(1)
			events.subscriptions[0].lastReceived = events.subscriptions[1].openedAt.Add(c.receivedAfter)
			events.unsubscribed(0)
			assert.Equal(t, c.reopened, cancelled == 1)
			assert.Equal(t, c.reopened, events.Counters.LateGaps.Load() == 1)
		})
	}
}

// TestOldAddressKeptUntilComplete checks that after a change of the relay's address the subscription at the old one stays
// open until it has delivered all events up to the opening of the new one. It was closed once the new one had its
// snapshot, although it may have been silent.
func TestOldAddressKeptUntilComplete(t *testing.T) {
	events := NewEventStream("old", &inbox{}, &Counters{}, zap.NewNop())
	cancelled := 0
	for i := range events.subscriptions {
		events.subscriptions[i].address = "old"
		events.subscribed(i)
		events.endSnapshot(context.Background(), i)
	}
	events.subscriptions[0].cancel = func() {}
	events.subscriptions[1].cancel = func() { cancelled++ }
	openedLongAgo(t, events)
	events.SetAddress("new")
	events.unsubscribed(0)
	events.subscriptions[0].address = "new"
	events.subscribed(0)
	events.endSnapshot(context.Background(), 0)
	assert.Zero(t, cancelled, "the old subscription has not delivered the events up to the opening of the new one")
	receive(1, "{}")(t, events)
	assert.Zero(t, cancelled, "what it received may have been sent earlier")
	events.subscriptions[0].openedAt = events.subscriptions[0].openedAt.Add(-2 * maxDeliveryDelay)
	receive(1, "{}")(t, events)
	assert.Equal(t, 1, cancelled)
}

// TestDifferingSubscriptionIsReopened checks that if one subscription ends and what is believed differs from what the other
// one has told, the other one is reopened: the events that would have made them equal may be lost.
func TestDifferingSubscriptionIsReopened(t *testing.T) {
	for name, c := range map[string]struct {
		last     step // received on the subscription that ends
		reopened bool
	}{
		"a proxy that the other has not announced":  {receive(0, joined(2, false)), true},
		"a proxy that the other has not seen leave": {receive(0, left(1)), true},
		"nothing": {receive(0, "{}"), false},
	} {
		t.Run(name, func(t *testing.T) {
			events := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
			cancelled := 0
			events.subscriptions[0].cancel = func() {}
			events.subscriptions[1].cancel = func() { cancelled++ }
			for i := range events.subscriptions {
				events.subscribed(i)
			}
			for i := range events.subscriptions {
				receive(i, joined(1, false))(t, events)
				events.endSnapshot(context.Background(), i)
			}
			openedLongAgo(t, events)
			c.last(t, events)
			events.unsubscribed(0)
			assert.Equal(t, c.reopened, cancelled == 1)
		})
	}
}
