package telemetry

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFairShare checks fairShare against max-min fair shares that were computed by hand.
func TestFairShare(t *testing.T) {
	for _, c := range []struct {
		total   float64
		demands []float64
		level   float64
	}{
		{10, []float64{2, 2, 2}, math.Inf(1)},
		{9, []float64{5, 5, 5}, 3},
		{10, []float64{1, 20, 20}, 4.5},
		{10, []float64{20, 1, 3}, 6},
		{0, []float64{1}, 0},
	} {
		assert.Equal(t, c.level, fairShare(c.total, c.demands))
	}
}
