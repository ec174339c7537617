package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestOpeningOfThousands guards proxies that are told late at an opening: one that counted as over after a fixed time had
// them leave and join, bound anew.
func TestOpeningOfThousands(t *testing.T) {
	n := NewEvents("", &inbox{}, &Counters{}, zap.NewNop())
	assert.LessOrEqual(t, n.opening(0), time.Duration(0), "not open")
	n.opened(0)
	for p := range 2400 {
		n.streams[0].stands = n.streams[0].stands.Add(-time.Minute) // long ago
		assert.LessOrEqual(t, n.opening(0), time.Duration(0))
		require.NoError(t, n.take(context.Background(), 0, []byte(joined(p, false))))
		assert.Positive(t, n.opening(0), "another may follow")
	}
	n.stands(context.Background(), 0)
	assert.Zero(t, n.opening(0))
}
