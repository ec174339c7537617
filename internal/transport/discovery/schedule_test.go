package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSchedule checks that a file is read once it has settled, but not put off indefinitely.
func TestSchedule(t *testing.T) {
	start := time.Now()
	var s schedule
	s.advance(start.Add(time.Second))
	s.advance(start.Add(2 * time.Second))
	assert.Equal(t, start.Add(time.Second), s.at, "the earlier request counts")
	s.putOff(start, settleTime)
	assert.Equal(t, start.Add(settleTime), s.at)
	s.putOff(start.Add(settleTime/2), settleTime)
	assert.Equal(t, start.Add(settleTime+settleTime/2), s.at, "it has changed again")
	s.putOff(start.Add(maxUnsettled-1), settleTime)
	assert.Equal(t, start.Add(maxUnsettled), s.at, "it has been changing for long enough")
}
