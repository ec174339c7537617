package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestSnapshotWithThousandsOfProxies checks that a snapshot lasts as long as proxies are announced. When snapshots
// ended after a fixed time, proxies announced later were treated as disconnected and then as newly joined.
func TestSnapshotWithThousandsOfProxies(t *testing.T) {
	events := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
	sub := &events.subscriptions[0]
	assert.LessOrEqual(t, events.snapshotRemaining(0), time.Duration(0), "the subscription is not open")
	events.subscribed(0)
	for proxy := range 2400 {
		sub.lastAnnounced = sub.lastAnnounced.Add(-time.Minute) // the quiet period is over
		assert.LessOrEqual(t, events.snapshotRemaining(0), time.Duration(0))
		require.NoError(t, events.handleLine(context.Background(), 0, []byte(joined(proxy, false))))
		assert.Positive(t, events.snapshotRemaining(0), "an announcement restarts the quiet period")
	}
	events.endSnapshot(context.Background(), 0)
	assert.Zero(t, events.snapshotRemaining(0))
}
