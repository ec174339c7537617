package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// TestSilentSubscriptionReopensTheOther guards what happened after one subscription fell silent and before the other
// opened: neither has told it.
func TestSilentSubscriptionReopensTheOther(t *testing.T) {
	events := NewEvents("", &inbox{}, &Counters{}, zap.NewNop())
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
