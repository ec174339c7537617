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
	events.unsubscribed(0, true)
	assert.Equal(t, 1, cancelled)
}
