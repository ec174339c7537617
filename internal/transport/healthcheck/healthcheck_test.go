package healthcheck

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"indigousher/internal/controller"
	"indigousher/internal/testbed/endpoint"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox passes the posted inputs to the test.
type inbox chan controller.Input

// Post implements controller.Inbox.
func (i inbox) Post(_ context.Context, in controller.Input) error {
	i <- in
	return nil
}

// unexpectedMessageServer starts a server that answers each connection with an unexpected message and closes it. It
// returns the address of the server.
func unexpectedMessageServer(t *testing.T) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = wire.NewWriter(c).Write(&wire.Heartbeat{}) // the client may have closed the connection
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// result waits for the next health check result.
func (i inbox) result(t *testing.T) controller.HealthChecked {
	r, ok := (<-i).(controller.HealthChecked)
	require.True(t, ok)
	return r
}

// TestProbe checks the outcome for an endpoint that is healthy, sends an unexpected message, hangs or is down, and the
// limit of concurrent checks.
func TestProbe(t *testing.T) {
	model := endpoint.Model{Name: "e", Cores: 1, Speed: 1, MaxConnections: 9, ReportEvery: 5 * time.Millisecond}
	e := endpoint.New(model, eventlog.NewLog().Stream("e"))
	require.NoError(t, e.Start(false))
	t.Cleanup(e.Kill)
	in := inbox(make(chan controller.Input, 64))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := New(ctx, (&net.Dialer{}).DialContext, in, 150*time.Millisecond, 2)
	check := func(address string) controller.HealthChecked {
		p.Probe(address)
		return in.result(t)
	}
	time.Sleep(20 * time.Millisecond)
	healthy := check(e.Address())
	assert.Equal(t, "ok", healthy.Outcome)
	assert.NotEmpty(t, healthy.Load)
	assert.Equal(t, "reset", check(unexpectedMessageServer(t)).Outcome)
	e.SetFaultMode(endpoint.FaultMode{Hang: true})
	assert.Equal(t, "timeout", check(e.Address()).Outcome)
	for range 12 { // ten more than the limit of concurrent checks
		p.Probe(e.Address())
	}
	denied := 0
	for range 12 {
		if in.result(t).Outcome == "denied" {
			denied++
		}
	}
	assert.Equal(t, 10, denied)
	e.Kill()
	assert.Equal(t, "unreachable", check(e.Address()).Outcome)
	p.Wait()
}
