package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestClockOffset checks the delay of reports from a sender whose clock is off and then jumps.
func TestClockOffset(t *testing.T) {
	var o clockOffset
	const off = 1e9 // the sender's clock is ahead by so many ms
	assert.Zero(t, o.age(1000, off+1000-20), "the first report sets the offset")
	assert.Equal(t, 30.0, o.age(2000, off+2000-50), "later than the first by 30 ms")
	assert.Zero(t, o.age(3000, off+3000-5), "faster than any before")
	assert.Equal(t, 15.0, o.age(4000, off+4000-20), "measured against the fastest")
	assert.Zero(t, o.age(5000, 5000), "the sender's clock was set")
	assert.Equal(t, 7.0, o.age(6000, 5993))
}

// TestClockDrift checks that the shortest delay is forgotten after two windows.
func TestClockDrift(t *testing.T) {
	var o clockOffset
	o.age(0, 0)
	assert.Equal(t, 100.0, o.age(1000, 900))
	o.age(offsetWindowMs+1, offsetWindowMs+1-100)  // a new window
	o.age(2*offsetWindowMs+2, 2*offsetWindowMs-98) // and another one, without the first report
	assert.Zero(t, o.age(2*offsetWindowMs+3, 2*offsetWindowMs+3-100))
}
