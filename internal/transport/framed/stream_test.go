package framed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestUnackedFrames checks that acknowledging a number removes all frames up to it, and that olderThan considers the
// oldest remaining frame.
func TestUnackedFrames(t *testing.T) {
	var u unackedFrames
	start := time.Now()
	assert.False(t, u.olderThan(start.Add(time.Hour)), "nothing is unacknowledged")
	u.add(1, start)
	u.add(2, start.Add(time.Second))
	u.add(5, start.Add(2*time.Second))
	assert.True(t, u.olderThan(start.Add(time.Millisecond)))
	u.acknowledge(1)
	assert.False(t, u.olderThan(start.Add(time.Second)))
	assert.True(t, u.olderThan(start.Add(1500*time.Millisecond)))
	u.acknowledge(4) // frames 3 and 4 were heartbeats, which are not recorded
	assert.False(t, u.olderThan(start.Add(2*time.Second)))
	u.acknowledge(9)
	assert.False(t, u.olderThan(start.Add(time.Hour)))
}
