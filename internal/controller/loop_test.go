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

// TestLoop runs the loop in virtual time. It checks that the first turn needs no input, that the loop wakes for timers
// and for input, and that it ends with its context.
func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &scriptedDecider{commands: [][]planner.Command{{planner.SetTimer{AtMs: 2500, Name: "timer"}}}}
		stream := &fakeTransport{}
		l := NewLoop(NewCore(newOptions(d, &fakeTransport{})), RealClock{}, zap.NewNop())
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- l.Run(ctx) }()
		time.Sleep(time.Second)
		require.NoError(t, l.Post(ctx, ProxyJoined{stream, hello("p", "a")}))
		time.Sleep(2 * time.Second)
		synctest.Wait() // wait until the loop is idle, so that reading its data is no race
		assert.Equal(t, []float64{0, 1000, 2500}, d.times)
		assert.Equal(t, 1, l.State().Proxies)
		cancel()
		assert.NoError(t, <-ended)
		for range inboxSize {
			require.NoError(t, l.Post(t.Context(), EndpointListLost{}))
		}
		assert.ErrorIs(t, l.Post(ctx, EndpointListLost{}), context.Canceled) // the inbox is full and the loop has ended
	})
}
