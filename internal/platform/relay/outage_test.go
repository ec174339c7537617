package relay

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestOutageBackoff checks that pauses double up to maxBackoff, and that errRunNotStarted resets them to minBackoff.
func TestOutageBackoff(t *testing.T) {
	o := newOutage()
	unreachable := errors.New("unreachable")
	for _, want := range []time.Duration{20, 40, 80, 160, 320, 320} {
		assert.Equal(t, want*time.Millisecond, o.nextPause(unreachable))
	}
	assert.Equal(t, notStartedBackoff, o.nextPause(fmt.Errorf("call: %w", errRunNotStarted)))
	assert.Equal(t, minBackoff, o.nextPause(unreachable))
}

// TestOutageStates checks that later failures do not change the start of an outage, and that no report about it is 0,
// which would mean its end.
func TestOutageStates(t *testing.T) {
	o := newOutage()
	assert.False(t, o.active())
	start := time.Now()
	o.begin(start)
	o.begin(start.Add(time.Hour))
	assert.True(t, o.active())
	assert.Equal(t, start, o.startedAt)
	assert.GreaterOrEqual(t, o.unreportedMs(), 1.0)
	assert.GreaterOrEqual(t, o.unreportedMs(), 1.0, "no time has passed since the last report")
}
