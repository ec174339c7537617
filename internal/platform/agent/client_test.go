package agent

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/pilot"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type inbox struct {
	mu  sync.Mutex
	got []*wire.List
}

func (b *inbox) Post(_ context.Context, in pilot.Input) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, in.(pilot.Listed).List)
	return nil
}

func (b *inbox) versions() (v []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range b.got {
		v = append(v, l.Version)
	}
	return v
}

func run(t *testing.T, a *Agent) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })
}

// TestSetAddress guards a reload: the list is neither forgotten nor told twice.
func TestSetAddress(t *testing.T) {
	old, now, b := newScriptedAgent(t, list(4, true, "x")), newScriptedAgent(t, list(5, false, "y")), &inbox{}
	a := New(old.l.Addr().String(), true, b, zap.NewNop())
	run(t, a)
	require.Eventually(t, func() bool { return len(old.asked()) > 1 }, 5*time.Second, time.Millisecond)
	a.Move(now.l.Addr().String())
	a.Move(now.l.Addr().String())
	require.Eventually(t, func() bool { return len(now.asked()) > 1 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, []int{4, 5}, b.versions())
	assert.Contains(t, now.asked()[0], "index=")
}

// TestOnRequest guards that nothing is asked before the module has.
func TestOnRequest(t *testing.T) {
	s, b := newScriptedAgent(t, list(4, true, "x"), list(5, true, "x")), &inbox{}
	a := New(s.l.Addr().String(), false, b, zap.NewNop())
	run(t, a)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, s.asked())
	a.Fetch()
	require.Eventually(t, func() bool { return len(b.versions()) == 1 }, 5*time.Second, time.Millisecond)
	a.Watch(true)
	require.Eventually(t, func() bool { return len(s.asked()) > 2 }, 5*time.Second, time.Millisecond)
}
