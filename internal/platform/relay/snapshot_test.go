package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestSnapshotOfThousands guards proxies that are told late at an opening: one that counted as over after a fixed time had
// them leave and join, bound anew.
func TestSnapshotOfThousands(t *testing.T) {
	n := NewEvents("", &inbox{}, &Counters{}, zap.NewNop())
	assert.LessOrEqual(t, n.snapshotRemaining(0), time.Duration(0), "not open")
	n.subscribed(0)
	for p := range 2400 {
		n.subscriptions[0].lastStanding = n.subscriptions[0].lastStanding.Add(-time.Minute) // long ago
		assert.LessOrEqual(t, n.snapshotRemaining(0), time.Duration(0))
		require.NoError(t, n.handleLine(context.Background(), 0, []byte(joined(p, false))))
		assert.Positive(t, n.snapshotRemaining(0), "another may follow")
	}
	n.endSnapshot(context.Background(), 0)
	assert.Zero(t, n.snapshotRemaining(0))
}
