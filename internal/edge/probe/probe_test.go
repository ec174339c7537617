package probe

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"indigousher/internal/pilot"
	"indigousher/internal/standin/endpoint"
	"indigousher/internal/standin/trail"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type inbox chan pilot.Input

func (i inbox) Post(_ context.Context, in pilot.Input) error { i <- in; return nil }

// TestProbe shows what each state of an endpoint is told as.
func TestProbe(t *testing.T) {
	e := endpoint.New(endpoint.Model{Name: "e", Cores: 1, Speed: 1, Conns: 9, ReportEvery: 5 * time.Millisecond},
		trail.NewBook().Trail("e"))
	require.NoError(t, e.Start(false))
	t.Cleanup(e.Kill)
	rude, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { assert.NoError(t, rude.Close()) }()
	go func() {
		for {
			c, err := rude.Accept()
			if err != nil {
				return
			}
			_, _ = wire.NewWriter(c).Write(&wire.Beat{}) // the other side may have closed it
			_ = c.Close()
		}
	}()
	in := inbox(make(chan pilot.Input, 64))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := New(ctx, (&net.Dialer{}).DialContext, in, 150*time.Millisecond, 2)
	result := func() pilot.Probed {
		r, ok := (<-in).(pilot.Probed)
		require.True(t, ok)
		return r
	}
	ask := func(at string) pilot.Probed {
		p.Probe(at)
		return result()
	}
	time.Sleep(20 * time.Millisecond)
	fine := ask(e.Address())
	assert.Equal(t, "ok", fine.Outcome)
	assert.NotEmpty(t, fine.Load)
	assert.Equal(t, "reset", ask(rude.Addr().String()).Outcome)
	e.Set(endpoint.Mood{Hang: true})
	assert.Equal(t, "timeout", ask(e.Address()).Outcome)
	for range 12 { // the bound of those under way
		p.Probe(e.Address())
	}
	denied := 0
	for range 12 {
		if result().Outcome == "denied" {
			denied++
		}
	}
	assert.Equal(t, 10, denied)
	e.Kill()
	assert.Equal(t, "unreachable", ask(e.Address()).Outcome)
	p.Wait()
}
