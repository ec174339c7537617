package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestConnectionClosedDuringCall checks a call on a reused connection that is closed as the request arrives: it is
// retried.
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

// TestIdleConnectionClosedByRelay checks that a connection closed by the relay is not reused.
func TestIdleConnectionClosedByRelay(t *testing.T) {
	s := newScriptedRelay(t)
	s.closeAfterResponse = true
	sender := startSender(t, s.address())
	for i := 1; i <= 5; i++ {
		sender.Enqueue([]planner.Command{planner.SetWeight{Table: i, Weight: 1}}, endpointName)
		executed := func() bool { return len(s.executedCommands()) == i && s.idle() }
		require.Eventually(t, executed, 5*time.Second, time.Millisecond)
	}
	assert.Zero(t, sender.Counters.FailedCalls.Load())
	assert.EqualValues(t, 5, sender.Counters.Executed.Load())
}
