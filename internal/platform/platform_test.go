package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/platform/placement"
)

// operatorSettings are settings in the operators' format, which is the same in the simulator's spawn event and in the
// placement file.
const operatorSettings = `{"dcs":["a","b"],"kinds":["m2"],"instances":1,"rank":0,"discovery":"pushed",
"profiles":[{"name":"read","aim":1000000000,"importance":2,"idempotency":"read_like"},
{"name":"write","aim":500000000,"importance":5}],
"report":{"fields":["cpu_share","served_ps"]},
"extra":{"proxy_count":40,"egress_per_s":800,"backlog":1200,"envelope":4,"admission":"share","by_zone":true},
"obligations":{"drain_grace":3000000000,"cold":10000000000}}`

// newPlacement returns a placement with operatorSettings and the given addresses.
func newPlacement(t *testing.T, listen, discovery, relay string) *placement.Placement {
	p, err := placement.Parse([]byte(fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"5",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},"relay":{"address":%q},"settings":%s}`,
		listen, discovery, relay, operatorSettings)))
	require.NoError(t, err)
	return p
}

// freeAddress returns a loopback address with a port that is not in use.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

// TestPilot runs a pilot on real sockets. It checks startup, reloads of valid and invalid files, and that the pilot
// stops in time while calls are in flight.
func TestPilot(t *testing.T) {
	fake := &fakePlatform{calls: map[string]int{}}
	first := fake.listen(t)
	second := fake.listen(t)
	third := fake.listen(t)
	listen := freeAddress(t)                     // last, or the kernel could give the released port to one of the fakes
	var file atomic.Pointer[placement.Placement] // what readPlacement returns; nil simulates an invalid file
	readPlacement := func() (*placement.Placement, error) {
		if p := file.Load(); p != nil {
			return p, nil
		}
		return nil, io.ErrUnexpectedEOF
	}
	ctx, cancel := context.WithCancel(context.Background())
	reload := make(chan struct{}, 1)
	ended := make(chan error, 1)
	p := New(newPlacement(t, listen, first, first), readPlacement, zap.NewNop())
	go func() { ended <- p.Run(ctx, reload) }()

	checkPing(t, listen)
	require.Eventually(t, func() bool {
		return fake.hasExecuted(first+" USE 3") && fake.hasExecuted(first+" SET <nil> s-1")
	}, 10*time.Second, time.Millisecond)

	reload <- struct{}{}
	require.Eventually(t, func() bool { return len(reload) == 0 }, 5*time.Second, time.Millisecond)
	assert.Zero(t, fake.callCount(second+membersPath))
	// The file becomes valid. The pilot's retry must find it without another reload request.
	file.Store(newPlacement(t, listen, second, second))
	require.Eventually(t, func() bool {
		return fake.callCount(second+membersPath) > 1 && fake.callCount(second+eventsPath) > 1
	}, 10*time.Second, time.Millisecond)

	file.Store(newPlacement(t, listen, third, third))
	reload <- struct{}{}
	reload <- struct{}{}
	require.Eventually(t, func() bool {
		return fake.callCount(third+membersPath) > 1 && fake.callCount(third+eventsPath) > 1
	}, 10*time.Second, time.Millisecond)

	began := time.Now()
	cancel()
	assert.NoError(t, <-ended)
	assert.Less(t, time.Since(began), 5*time.Second, "Run returns although calls are in flight")
}

// checkPing checks that the pilot accepts connections and replies to a ping. The connection stays open until the test
// ends.
func checkPing(t *testing.T, address string) {
	var conn net.Conn
	require.Eventually(t, func() bool {
		var err error
		conn, err = net.Dial("tcp", address)
		return err == nil
	}, 5*time.Second, time.Millisecond)
	t.Cleanup(func() { _ = conn.Close() })
	_, err := io.WriteString(conn, "ping\r\n")
	require.NoError(t, err)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	assert.Equal(t, "pong\r\n", line)
}
