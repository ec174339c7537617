package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

// TestASilentLineHasTheOtherOpenAnew guards what happened after a line fell silent and before the other stood.
func TestASilentLineHasTheOtherOpenAnew(t *testing.T) {
	n, cut := NewEvents("", &inbox{}, &Counters{}, zap.NewNop()), 0
	n.streams[0].cut, n.streams[1].cut = func() {}, func() { cut++ }
	n.opened(0)
	n.stands(context.Background(), 0)
	time.Sleep(time.Millisecond)
	n.opened(1)
	n.closed(0, true)
	assert.Equal(t, 1, cut)
}
