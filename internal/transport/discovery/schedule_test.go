package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSchedule checks that a file is read once it has settled, but not put off indefinitely.
func TestSchedule(t *testing.T) {
	start := time.Now()
	var s readSchedule
	s.requestAt(start.Add(time.Second))
	s.requestAt(start.Add(2 * time.Second))
	assert.Equal(t, start.Add(time.Second), s.at, "the earlier request counts")
	s.postpone(start, settleTime)
	assert.Equal(t, start.Add(settleTime), s.at)
	s.postpone(start.Add(settleTime/2), settleTime)
	assert.Equal(t, start.Add(settleTime+settleTime/2), s.at, "it has changed again")
	s.postpone(start.Add(maxUnsettled-1), settleTime)
	assert.Equal(t, start.Add(maxUnsettled), s.at, "it has been changing for long enough")
}
