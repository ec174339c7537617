package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestClockOffset checks the estimated delays of reports from a sender whose clock is wrong and is then set.
func TestClockOffset(t *testing.T) {
	var o clockOffset
	const off = 1e9 // ms by which the sender's clock is ahead
	assert.Zero(t, o.age(1000, off+1000-20), "the first report sets the offset")
	assert.Equal(t, 30.0, o.age(2000, off+2000-50), "30 ms slower than the first report")
	assert.Zero(t, o.age(3000, off+3000-5), "faster than all reports before")
	assert.Equal(t, 15.0, o.age(4000, off+4000-20), "measured against the fastest report")
	assert.Zero(t, o.age(5000, 5000), "the sender's clock was set")
	assert.Equal(t, 7.0, o.age(6000, 5993))
}

// TestClockDrift checks that the shortest delay no longer counts after two windows.
func TestClockDrift(t *testing.T) {
	var o clockOffset
	o.age(0, 0)
	assert.Equal(t, 100.0, o.age(1000, 900))
	o.age(offsetWindowMs+1, offsetWindowMs+1-100)  // starts a second window
	o.age(2*offsetWindowMs+2, 2*offsetWindowMs-98) // starts a third window, after which the first no longer counts
	assert.Zero(t, o.age(2*offsetWindowMs+3, 2*offsetWindowMs+3-100))
}
