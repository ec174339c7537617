package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestPendingLimit checks that no more sums are pending than the limit allows, and that a failing endpoint is flushed
// even when the limit is reached.
func TestPendingLimit(t *testing.T) {
	options := testOptions()
	options.MaxPending, options.FlushedPerS = 10, 5
	c := newFleet(options, 30, 40, 3)
	urgent := false
	c.failureRate = func(e int, now float64) float64 {
		if e == 39 && now > 5000 {
			return 1
		}
		return 0
	}
	c.rates = func(int, int) float64 { return 3 }
	c.run(9000, func(_ float64, batch Batch[float64]) {
		for _, m := range batch.EndpointSums {
			urgent = urgent || m.Endpoint == 39 && m.Failed > 0
		}
	})
	assert.LessOrEqual(t, c.maxPending, 10)
	assert.True(t, urgent)
	assert.Positive(t, c.aggregator.Counts[Evicted])
}
