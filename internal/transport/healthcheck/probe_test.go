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

type inbox chan controller.Input

func (i inbox) Post(_ context.Context, in controller.Input) error { i <- in; return nil }

// TestProbe shows what each state of an endpoint is told as.
func TestProbe(t *testing.T) {
	e := endpoint.New(endpoint.Model{Name: "e", Cores: 1, Speed: 1, Conns: 9, ReportEvery: 5 * time.Millisecond},
		eventlog.NewLog().Stream("e"))
	require.NoError(t, e.Start(false))
	t.Cleanup(e.Kill)
	rude, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer rude.Close()
	go func() {
		for {
			c, err := rude.Accept()
			if err != nil {
				return
			}
			_, _ = wire.NewWriter(c).Write(&wire.Beat{})
			c.Close()
		}
	}()
	in := inbox(make(chan controller.Input, 64))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := New(ctx, (&net.Dialer{}).DialContext, in, 150*time.Millisecond, 2)
	ask := func(at string) controller.HealthChecked {
		p.Probe(at)
		return (<-in).(controller.HealthChecked)
	}
	time.Sleep(20 * time.Millisecond)
	fine := ask(e.Address())
	assert.Equal(t, "ok", fine.Outcome)
	assert.NotEmpty(t, fine.Load)
	assert.Equal(t, "reset", ask(rude.Addr().String()).Outcome)
	e.SetFaultMode(endpoint.FaultMode{Hang: true})
	assert.Equal(t, "timeout", ask(e.Address()).Outcome)
	for range 12 { // the bound of those under way
		p.Probe(e.Address())
	}
	denied := 0
	for range 12 {
		if (<-in).(controller.HealthChecked).Outcome == "denied" {
			denied++
		}
	}
	assert.Equal(t, 10, denied)
	e.Kill()
	assert.Equal(t, "unreachable", ask(e.Address()).Outcome)
	p.Wait()
}
