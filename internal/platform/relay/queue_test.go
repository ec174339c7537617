package relay

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// closedAddress returns a loopback address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// TestSupersededCommands checks what is sent after the relay was unreachable: a weight that was set repeatedly is sent
// once, with its last value; no table is assigned to a proxy that has disconnected; an exclusion keeps its position
// between the other commands.
func TestSupersededCommands(t *testing.T) {
	sender := startSender(t, closedAddress(t))
	for w := 1; w <= 100; w++ {
		turn := []planner.Command{
			setWeight(1, float64(w)),
			planner.AssignTable{Table: 1, Proxy: 3},
			planner.AckRequest{Number: w},
		}
		sender.Enqueue(turn, endpointName)
	}
	sender.Enqueue([]planner.Command{planner.SetExcluded{Endpoint: 2, Excluded: true}, setWeight(2, 0)}, endpointName)
	sender.ProxyLeft(3)
	eventually(t, func() bool { // a failed call has merged all queued calls
		sender.queue.mu.Lock()
		defer sender.queue.mu.Unlock()
		return len(sender.queue.calls) <= 1
	})
	s := newScriptedRelay(t)
	sender.SetAddress(s.address())
	eventually(t, func() bool { return len(s.executedCommands()) >= 4 })
	executed := s.executedCommands()
	assert.Equal(t, []string{"SET 1 e1 100", "SYNC 100", "OUT e2", "SET 1 e2 0"}, executed[len(executed)-4:])
	assert.LessOrEqual(t, len(executed), 4)
	assert.Zero(t, count(executed, "USE"))
}
