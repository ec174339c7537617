package relay

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/brain"
)

// TestSupersededCommands guards what waits while the relay is out of reach: a line set anew is said once, with its last weight, a
// proxy that has left is not bound, and drains keep their place before what follows them.
func TestSupersededCommands(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	r := startSender(t, address)
	for w := 1; w <= 100; w++ {
		r.Carry([]brain.Order{brain.SetLine{Table: 1, Endpoint: 1, Weight: float64(w)}, brain.Bind{Table: 1, Proxy: 3}, brain.Mark{Number: w}}, endpoint)
	}
	r.Carry([]brain.Order{brain.Withdraw{Endpoint: 2, Out: true}, brain.SetLine{Table: 1, Endpoint: 2, Weight: 0}}, endpoint)
	r.Gone(3)
	require.Eventually(t, func() bool { // a call that failed has joined all that waits
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.queue) <= 1
	}, 10*time.Second, time.Millisecond)
	s := newScriptedRelay(t)
	r.Move(s.l.Addr().String())
	require.Eventually(t, func() bool { return len(s.carried()) >= 4 }, 10*time.Second, time.Millisecond)
	got := s.carried()
	assert.Equal(t, []string{"SET 1 e1 100", "SYNC 100", "OUT e2", "SET 1 e2 0"}, got[len(got)-4:])
	assert.LessOrEqual(t, len(got), 4)
	assert.Zero(t, strings.Count(strings.Join(got, " "), "USE"))
}
