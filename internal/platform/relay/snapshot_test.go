package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestSnapshotOfThousands checks proxies that are announced late in a snapshot. When snapshots ended after a fixed
// time, those were taken for disconnected, and joined again.
func TestSnapshotOfThousands(t *testing.T) {
	events := NewEventStream("", &inbox{}, &Counters{}, zap.NewNop())
	sub := &events.subscriptions[0]
	assert.LessOrEqual(t, events.snapshotRemaining(0), time.Duration(0), "not open")
	events.subscribed(0)
	for proxy := range 2400 {
		sub.lastAnnounced = sub.lastAnnounced.Add(-time.Minute) // long ago
		assert.LessOrEqual(t, events.snapshotRemaining(0), time.Duration(0))
		require.NoError(t, events.handleLine(context.Background(), 0, []byte(joined(proxy, false))))
		assert.Positive(t, events.snapshotRemaining(0), "another may follow")
	}
	events.endSnapshot(context.Background(), 0)
	assert.Zero(t, events.snapshotRemaining(0))
}
