package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFailingSeenInBurst checks that the failures of an endpoint with a tenth of the usual traffic reach the planner at
// most two periods later than without limits, while senders report a hundred times as often as they should.
func TestFailingSeenInBurst(t *testing.T) {
	firstFlushMs := func(limit float64) (at float64) {
		options := testOptions()
		options.LinesPerS, options.FlushedPerS = limit, limit/10
		c := newFleet(options, 60, 20, 3)
		c.rates = func(_, e int) float64 {
			if e == 13 {
				return 0.5
			}
			return 5
		}
		c.failureRate = func(e int, now float64) float64 {
			if e == 13 && now > 20300 {
				return 1
			}
			return 0
		}
		c.run(20000, nil)
		for _, s := range c.senders {
			s.reportsPerPeriod = 100
		}
		c.run(8000, func(now float64, batch Batch[float64]) {
			for _, m := range batch.EndpointSums {
				if m.Endpoint == 13 && m.Failed > 0.5*m.Attempts && at == 0 {
					at = now
				}
			}
		})
		return at
	}
	unlimited, limited := firstFlushMs(0), firstFlushMs(800)
	require.NotZero(t, unlimited)
	require.NotZero(t, limited)
	assert.LessOrEqual(t, limited, unlimited+2000)
}
