package relay

import (
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// closedAddress returns an address at which nobody listens.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// TestSupersededCommands checks the queue while the relay is unreachable: a weight set repeatedly is sent once, with
// its last value, a disconnected proxy is assigned no table, and exclusions keep their place in the order.
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
	eventually(t, func() bool { // a call that failed has merged all that waits
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
