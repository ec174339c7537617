package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDecayHalves checks that weights halve with each half-life, and that the mean weight of a span is the mean over
// its points in time.
func TestDecayHalves(t *testing.T) {
	d := decay{halfLifeMs: 5000}
	assert.InDelta(t, 0.5, d.weight(0)/d.weight(5000), 1e-12)
	assert.InDelta(t, 0.25, d.weight(0)/d.weight(10000), 1e-12)
	assert.InDelta(t, d.weight(3000), d.meanWeight(3000, 1e-9), 1e-9, "a span of length zero is a point in time")
	sum := 0.0
	for ms := 0.5; ms < 4000; ms++ {
		sum += d.weight(ms)
	}
	assert.InDelta(t, sum/4000, d.meanWeight(4000, 4000), 1e-6, "mean over the points in time of the span")
}

// TestDecayRescaled checks that decayed values stay the same when the landmark is moved.
func TestDecayRescaled(t *testing.T) {
	d := decay{halfLifeMs: 5000}
	const now = rescaleAfter * 5000.0
	assert.False(t, d.rescaleDue(now-1))
	assert.True(t, d.rescaleDue(now))
	figure := 3 * d.weight(now-5000)
	before := figure / d.weight(now)
	figure *= d.moveLandmark(now)
	assert.InDelta(t, before, figure/d.weight(now), 1e-12)
	assert.Equal(t, 1.0, d.weight(now))
}
