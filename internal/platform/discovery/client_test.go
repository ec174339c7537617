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

// movingInbox is an inbox that changes the client's address while a list is being posted. It refuses a list whose context
// has ended, as controller.Loop may even if it has room.
type movingInbox struct {
	inbox
	version int    // list during which move is called, once
	move    func() // changes the client's address
	once    sync.Once
}

func (b *movingInbox) Post(ctx context.Context, in controller.Input) error {
	if listed, ok := in.(controller.EndpointsListed); ok && listed.List.Version == b.version {
		b.once.Do(b.move)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	return b.inbox.Post(ctx, in)
}

// TestListPostedDuringSetAddress guards against review case 7: changes that arrived while the address changed were dropped,
// and were not requested again, because their version had been recorded before.
func TestListPostedDuringSetAddress(t *testing.T) {
	before := newScriptedAgent(t, listResponse(4, true, "x"), listResponse(5, false, "y"))
	after := newScriptedAgent(t, listResponse(6, false, "z"))
	b := &movingInbox{version: 5}
	client := New(before.address(), true, b, zap.NewNop())
	b.move = func() { client.SetAddress(after.address()) }
	startClient(t, client)
	eventually(t, func() bool { return len(after.requestedPaths()) > 1 })
	assert.Equal(t, []int{4, 5, 6}, b.versions())
	assert.Equal(t, changesPath(5), after.requestedPaths()[0])
}

// refusingInbox is an inbox that refuses the first list.
type refusingInbox struct {
	inbox
	once sync.Once
}

func (b *refusingInbox) Post(ctx context.Context, in controller.Input) (err error) {
	err = b.inbox.Post(ctx, in)
	b.once.Do(func() {
		b.got = nil
		err = context.Canceled
	})
	return err
}

// TestRefusedListIsRequestedAgain checks that the version of a list that was not posted is not recorded.
func TestRefusedListIsRequestedAgain(t *testing.T) {
	s := newScriptedAgent(t, listResponse(4, true, "x"), listResponse(4, true, "x"))
	b := &refusingInbox{}
	startClient(t, New(s.address(), true, b, zap.NewNop()))
	eventually(t, func() bool { return len(s.requestedPaths()) > 2 })
	assert.Equal(t, []string{wholePath, wholePath, changesPath(4)}, s.requestedPaths()[:3])
	assert.Equal(t, []int{4}, b.versions())
}

// TestFetchSurvivesFailure checks that a request for the whole list is repeated until it is answered.
func TestFetchSurvivesFailure(t *testing.T) {
	s := newScriptedAgent(t, "reset", "half", listResponse(4, true, "x"))
	b := &inbox{}
	client := New(s.address(), false, b, zap.NewNop())
	startClient(t, client)
	client.Fetch()
	eventually(t, func() bool { return len(b.versions()) == 1 })
	time.Sleep(2 * retryDelay)
	assert.Equal(t, []string{wholePath, wholePath, wholePath}, s.requestedPaths(), "one answer is enough")
}
