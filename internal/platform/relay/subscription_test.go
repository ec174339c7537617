package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// TestSilentSubscriptionReopensTheOther guards what happened after a line fell silent and before the other stood.
func TestSilentSubscriptionReopensTheOther(t *testing.T) {
	n, cut := NewEvents("", &inbox{}, &Counters{}, zap.NewNop()), 0
	n.subscriptions[0].cancel, n.subscriptions[1].cancel = func() {}, func() { cut++ }
	n.subscribed(0)
	n.endSnapshot(context.Background(), 0)
	time.Sleep(time.Millisecond)
	n.subscribed(1)
	n.unsubscribed(0, true)
	assert.Equal(t, 1, cut)
}
