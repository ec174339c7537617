package telemetry

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestProperties checks with random report rates, losses and delays that reports of every sender are accepted, that the
// limit of pending sums is respected, that equal inputs give equal outputs, and that no flushed value is NaN, negative
// or contradictory.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		options := testOptions()
		options.LinesPerS = rapid.Float64Range(50, 2000).Draw(rt, "linesPerS")
		options.MaxPending = rapid.IntRange(8, 100).Draw(rt, "standing")
		reportRates := rapid.SliceOfN(rapid.Float64Range(0.5, 20), 6, 6).Draw(rt, "reportRates")
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		late := rapid.Float64Range(0, 3000).Draw(rt, "late")
		run := func() (string, *fleet) {
			c := newFleet(options, 6, 5, 2)
			for i, s := range c.senders {
				s.reportsPerPeriod = reportRates[i]
			}
			c.deliver = func(*reporter, float64) (bool, float64) { return c.rnd.Float64() >= loss, late * c.rnd.Float64() }
			var all string
			c.run(6000, func(now float64, batch Batch[float64]) { all += fmt.Sprint(now, batch) })
			return all, c
		}
		first, c := run()
		second, _ := run()
		require.Equal(rt, first, second)
		require.LessOrEqual(rt, c.maxPending, options.MaxPending)
		for _, s := range c.senders {
			require.True(rt, !s.arrived || c.aggregator.senders[s.id].accepted > 0 || late > 0, "no report of sender %d accepted", s.id)
		}
		for key, x := range c.flushed {
			require.False(rt, math.IsNaN(x.attempts) || x.attempts < 0 || x.failed > x.attempts+1e-9, "%v %+v", key, x)
		}
	})
}
