package discovery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox is a controller.Inbox that records the lists posted to it.
type inbox struct {
	mu  sync.Mutex
	got []*wire.List // in the order posted
}

// Post records a list. Any other input is an error.
func (b *inbox) Post(_ context.Context, in controller.Input) error {
	listed, ok := in.(controller.EndpointsListed)
	if !ok {
		return fmt.Errorf("unexpected input %T", in)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = append(b.got, listed.List)
	return nil
}

// versions returns the versions of the posted lists, in order.
func (b *inbox) versions() (versions []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, list := range b.got {
		versions = append(versions, list.Version)
	}
	return versions
}

// startClient runs a client in the background until the test ends, and checks that Run returns nil.
func startClient(t *testing.T, client *Client) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
}

// eventually waits up to 5 s for a condition to become true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 5*time.Second, time.Millisecond)
}

// TestSetAddress checks that after a change of the address the client requests changes from its last version, so that
// the whole list is not posted again.
func TestSetAddress(t *testing.T) {
	before := newScriptedAgent(t, listResponse(4, true, "x"))
	after := newScriptedAgent(t, listResponse(5, false, "y"))
	b := &inbox{}
	client := New(before.address(), true, b, zap.NewNop())
	startClient(t, client)
	eventually(t, func() bool { return len(before.requestedPaths()) > 1 })
	client.SetAddress(after.address())
	client.SetAddress(after.address())
	eventually(t, func() bool { return len(after.requestedPaths()) > 1 })
	assert.Equal(t, []int{4, 5}, b.versions())
	assert.Contains(t, after.requestedPaths()[0], "index=")
}

// TestOnRequest checks that a client created without watching makes no request before Fetch or Watch is called.
func TestOnRequest(t *testing.T) {
	s := newScriptedAgent(t, listResponse(4, true, "x"), listResponse(5, true, "x"))
	b := &inbox{}
	client := New(s.address(), false, b, zap.NewNop())
	startClient(t, client)
	time.Sleep(20 * time.Millisecond)
	assert.Empty(t, s.requestedPaths())
	client.Fetch()
	eventually(t, func() bool { return len(b.versions()) == 1 })
	client.Watch(true)
	eventually(t, func() bool { return len(s.requestedPaths()) > 2 })
}
