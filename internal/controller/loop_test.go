package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/planner"
)

// TestLoop drives the loop in the test's bubble of time: it starts by itself, wakes for alarms and ends when asked.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &scriptedDecider{commands: [][]planner.Command{{planner.SetTimer{AtMs: 2500, Name: "bell"}}}}
		stream := &fakeTransport{}
		l := NewLoop(NewCore(newOptions(d, &fakeTransport{})), RealClock{}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, l.Post(ctx, ProxyJoined{stream, hello("p", "a")}))
		time.Sleep(2 * time.Second)
		synctest.Wait() // the loop is idle: what it wrote may be read
		assert.Equal(t, []float64{0, 1000, 2500}, d.times)
		assert.Equal(t, 1, l.State().Proxies)
		cancel()
		assert.NoError(t, <-ended)
		for range inboxSize {
			require.NoError(t, l.Post(t.Context(), EndpointListLost{}))
		}
		assert.ErrorIs(t, l.Post(ctx, EndpointListLost{}), context.Canceled) // full, and nobody takes from it
	})
}
