package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestHistogramDecays checks that a mean needs two values, and that old values lose weight against new ones.
func TestHistogramDecays(t *testing.T) {
	h := histogram{}
	h.add(4, 8)
	mean, total := h.mean()
	assert.Zero(t, mean)
	assert.Equal(t, 1.0, total)
	h.add(1, 8)
	mean, _ = h.mean()
	assert.InDelta(t, 2, mean, 1e-9, "the geometric mean of 4 and 1")
	for range 100 {
		h.add(16, 8)
	}
	mean, total = h.mean()
	assert.InDelta(t, 16, mean, 0.1)
	assert.LessOrEqual(t, total, 8.0)
	h.add(0, 8)
	h.add(1e300, 8)
	assert.Positive(t, h.bins[0], "values out of range count in the first or last bin")
	assert.Positive(t, h.bins[histogramBins-1])
}
