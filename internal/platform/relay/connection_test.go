package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
)

// TestIdleConnectionClosedByRelay guards calls after the relay has closed a connection that stood idle: it is found before it is used.
func TestIdleConnectionClosedByRelay(t *testing.T) {
	s := newScriptedRelay(t)
	s.closing = true
	r := startSender(t, s.l.Addr().String())
	for i := 1; i <= 5; i++ {
		r.Carry([]brain.Order{brain.SetLine{Table: i, Weight: 1}}, endpoint)
		require.Eventually(t, func() bool { return len(s.carried()) == i && s.idle() }, 5*time.Second, time.Millisecond)
	}
	assert.Zero(t, r.Counters.FailedCalls.Load())
	assert.EqualValues(t, 5, r.Counters.Executed.Load())
}
