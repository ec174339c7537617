package daemon

import (
	"context"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/testbed/proxy"
	"indigousher/internal/wire"
)

// goodProxy is a proxy that conforms to the protocol and stores the operations it receives.
type goodProxy struct {
	mu        sync.Mutex // guards ops and streamErr
	ops       []wire.Op  // all operations received
	streamErr error      // error with which the stream ended before follow's context did; nil if it did not
}

// follow connects to a controller and acknowledges its messages until ctx or the stream ends.
func (g *goodProxy) follow(ctx context.Context, address string, join proxy.Joiner) {
	hello := &wire.Hello{Version: 1, Proxy: "good", Zone: "a", Rate: 5, Fresh: true}
	line, _, err := join(ctx, (&net.Dialer{}).DialContext, address, hello)
	for err == nil {
		var m wire.Message
		if m, err = line.Read(5 * time.Second); err != nil {
			break
		}
		if commands, ok := m.(*wire.Commands); ok {
			g.store(commands.Ops)
			acknowledgeMarks(line, commands.Ops)
		}
		err = line.Write(&wire.Heartbeat{LastProcessed: line.Last()}, time.Second)
	}
	if line != nil {
		defer line.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() == nil {
		g.streamErr = err
	}
}

// acknowledgeMarks sends an acknowledgement for each mark among ops.
func acknowledgeMarks(line proxy.Stream, ops []wire.Op) {
	for _, op := range ops {
		if op.Kind == wire.OpAckRequest {
			_ = line.Write(&wire.Done{Mark: op.AckNumber}, time.Second) // if the stream is broken, the next read fails
		}
	}
}

// store stores received operations.
func (g *goodProxy) store(ops []wire.Op) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ops = append(g.ops, ops...)
}

// received returns a function that reports whether the proxy has received an operation for which is returns true.
func (g *goodProxy) received(is func(wire.Op) bool) func() bool {
	return func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, op := range g.ops {
			if is(op) {
				return true
			}
		}
		return false
	}
}

// assertValid checks that the stream is still open and that all received operations are valid: weights are between 0
// and 1, at least one of the endpoints x:1 and y:1 has a positive weight, and there are no range operations.
func (g *goodProxy) assertValid(t *testing.T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.NoError(t, g.streamErr)
	weights := map[string]float64{}
	for _, op := range g.ops {
		require.False(t, op.Weight < 0 || op.Weight > 1 || math.IsNaN(op.Weight), "%+v", op)
		require.NotEqual(t, wire.OpAssignRange, op.Kind)
		if op.Kind == wire.OpSetWeight {
			weights[op.Endpoint] = op.Weight
		}
	}
	assert.Positive(t, weights["x:1"]+weights["y:1"])
}
