package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSchedule checks that a read is scheduled for when the file has settled, and is not postponed beyond maxUnsettled.
func TestSchedule(t *testing.T) {
	start := time.Now()
	var s readSchedule
	s.requestAt(start.Add(time.Second))
	s.requestAt(start.Add(2 * time.Second))
	assert.Equal(t, start.Add(time.Second), s.at, "the earlier time is kept")
	s.postpone(start, settleTime)
	assert.Equal(t, start.Add(settleTime), s.at)
	s.postpone(start.Add(settleTime/2), settleTime)
	assert.Equal(t, start.Add(settleTime+settleTime/2), s.at, "another change postpones the read")
	s.postpone(start.Add(maxUnsettled-1), settleTime)
	assert.Equal(t, start.Add(maxUnsettled), s.at, "the read is not postponed beyond maxUnsettled")
}
