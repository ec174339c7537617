package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestConnectionClosedDuringCall checks that a call is retried if the relay closes a reused connection when the request
// arrives.
func TestConnectionClosedDuringCall(t *testing.T) {
	s := newScriptedRelay(t, "ok", "broken")
	sender := startSender(t, s.address())
	for i := 1; i <= 2; i++ {
		sender.Enqueue([]planner.Command{setWeight(i, 1)}, endpointName)
		require.Eventually(t, func() bool { return len(s.executedCommands()) == i }, 5*time.Second, time.Millisecond)
	}
	assert.Equal(t, []string{"SET 1 e1 1", "SET 1 e2 1"}, s.executedCommands())
	require.Eventually(t, func() bool { return sender.Counters.Executed.Load() == 2 }, 5*time.Second, time.Millisecond)
	assert.EqualValues(t, 1, sender.Counters.OutcomeUnknown.Load())
}

// TestIdleConnectionClosedByRelay checks that a connection which the relay closes after a response is not reused, so
// that no call fails.
func TestIdleConnectionClosedByRelay(t *testing.T) {
	s := newScriptedRelay(t)
	s.closeAfterResponse = true
	sender := startSender(t, s.address())
	for i := 1; i <= 5; i++ {
		sender.Enqueue([]planner.Command{planner.SetWeight{Table: i, Weight: 1}}, endpointName)
		executed := func() bool { return len(s.executedCommands()) == i && s.idle() }
		require.Eventually(t, executed, 5*time.Second, time.Millisecond)
	}
	counted := func() bool { return sender.Counters.Executed.Load() >= 5 } // after the relay has closed the connection
	require.Eventually(t, counted, 5*time.Second, time.Millisecond)
	assert.Zero(t, sender.Counters.FailedCalls.Load())
	assert.EqualValues(t, 5, sender.Counters.Executed.Load())
}
