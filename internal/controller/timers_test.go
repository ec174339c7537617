package controller

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTimerQueue checks that timers fire ordered by time, and in the order of setting for equal times.
func TestTimerQueue(t *testing.T) {
	var q timerQueue
	assert.True(t, math.IsInf(q.due(), 1))
	q.set(20, "late")
	q.set(10, "first")
	q.set(10, "second")
	q.set(10, "third")
	assert.Equal(t, 10.0, q.due())
	assert.Empty(t, q.expire(9))
	assert.Equal(t, []string{"first", "second", "third"}, q.expire(10))
	assert.Equal(t, 20.0, q.due())
}
