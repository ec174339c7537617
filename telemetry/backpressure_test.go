package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSlowedAndReleased checks that all senders are slowed down within seconds of an overload, and that they return to
// the configured report period in groups after it.
func TestSlowedAndReleased(t *testing.T) {
	options := testOptions()
	options.LinesPerS = 400
	c := newFleet(options, 64, 10, 2)
	c.rates = func(int, int) float64 { return 5 }
	c.run(4000, nil)
	for _, s := range c.senders {
		assert.Greater(t, s.periodMs, 1000.0)
	}
	c.rates = func(_, e int) float64 {
		if e == 0 {
			return 5
		}
		return 0
	}
	released, maxReleased := 0, 0
	for range 60 {
		c.run(1000, nil)
		n := 0
		for _, s := range c.senders {
			if s.periodMs == 1000 {
				n++
			}
		}
		maxReleased, released = max(maxReleased, n-released), n
	}
	assert.Equal(t, len(c.senders), released)
	assert.LessOrEqual(t, maxReleased, len(c.senders)/3, "senders released within one second")
}
