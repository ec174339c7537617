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

// goodProxy follows a controller as it should, and keeps what crosses to it.
type goodProxy struct {
	mu   sync.Mutex
	ops  []wire.Op
	left error // why its stream ended before it was told to
}

// follow joins and acknowledges until ctx or the stream ends.
func (g *goodProxy) follow(ctx context.Context, address string, join proxy.Joiner) {
	hello := &wire.Hello{Version: 1, Proxy: "good", Zone: "a", Rate: 5, Fresh: true}
	line, _, err := join(ctx, (&net.Dialer{}).DialContext, address, hello)
	for err == nil {
		var m wire.Message
		if m, err = line.Read(5 * time.Second); err != nil {
			break
		}
		if commands, ok := m.(*wire.Commands); ok {
			g.keep(commands.Ops)
			acknowledge(line, commands.Ops)
		}
		err = line.Write(&wire.Heartbeat{LastProcessed: line.Last()}, time.Second)
	}
	if line != nil {
		defer line.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if ctx.Err() == nil {
		g.left = err
	}
}

// acknowledge answers the marks among ops.
func acknowledge(line proxy.Stream, ops []wire.Op) {
	for _, op := range ops {
		if op.Kind == wire.OpAckRequest {
			_ = line.Write(&wire.Done{Mark: op.AckNumber}, time.Second) // a broken stream shows at the next read
		}
	}
}

func (g *goodProxy) keep(ops []wire.Op) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ops = append(g.ops, ops...)
}

// got returns a condition: whether an op came.
func (g *goodProxy) got(is func(wire.Op) bool) func() bool {
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

// assertValid checks that the stream still stands, and all that came.
func (g *goodProxy) assertValid(t *testing.T) {
	g.mu.Lock()
	defer g.mu.Unlock()
	assert.NoError(t, g.left)
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
