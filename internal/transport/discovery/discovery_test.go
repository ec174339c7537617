package discovery

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/config"
	"indigousher/internal/controller"
	"indigousher/internal/testbed/eventlog"
	"indigousher/internal/testbed/registry"
	"indigousher/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// inbox records a summary of each input: "whole" or "changes" with the listed endpoints, "slice" with its assignment,
// or "lost". Consecutive equal summaries are recorded once.
type inbox struct {
	mu  sync.Mutex
	got []string
}

// Post implements controller.Inbox.
func (i *inbox) Post(_ context.Context, in controller.Input) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	summary := "lost"
	if x, ok := in.(controller.SliceAssigned); ok {
		summary = fmt.Sprint("slice ", x.Slices.Slice, x.Slices.Given, x.Slices.Lines)
	}
	if l, ok := in.(controller.EndpointsListed); ok {
		summary = map[bool]string{true: "whole", false: "changes"}[l.List.Whole]
		for _, e := range l.List.Entries {
			summary += " " + e.Endpoint
		}
	}
	if len(i.got) == 0 || i.got[len(i.got)-1] != summary {
		i.got = append(i.got, summary) // one write of a file may cause several events and therefore several reads
	}
	return nil
}

// expect waits until the recorded summaries equal want.
func (i *inbox) expect(t *testing.T, want ...string) {
	assert.Eventually(t, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		return assert.ObjectsAreEqual(want, i.got)
	}, 5*time.Second, 2*time.Millisecond, "want %v", want)
}

// run calls f in a goroutine. At the end of the test it cancels the context of f and checks that f returns nil.
func run(t *testing.T, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-done) })
}

// TestStream checks that the loss of a source is posted, and that a complete list is posted after reconnecting.
func TestStream(t *testing.T) {
	l := registry.New(eventlog.NewLog().Stream("list"))
	require.NoError(t, l.Start())
	t.Cleanup(l.Close)
	l.Put(0, wire.Entry{Endpoint: "x", Zone: "a"})
	in := &inbox{}
	s := NewStream("one", l.Address(), (&net.Dialer{}).DialContext, in, time.Second, zap.NewNop())
	run(t, s.Run)
	in.expect(t, "whole x")
	l.Put(30*time.Millisecond, wire.Entry{Endpoint: "y", Zone: "a"})
	in.expect(t, "whole x", "changes y")
	s.Fetch()
	in.expect(t, "whole x", "changes y", "whole x y")
	l.AssignSlice(wire.Slices{Slice: 7, Given: true, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 1}}})
	in.expect(t, "whole x", "changes y", "whole x y", "slice 7 true [{x 1}]")
	l.Stop()
	l.Put(0, wire.Entry{Endpoint: "x", Phase: wire.PhaseGone})
	in.expect(t, "whole x", "changes y", "whole x y", "slice 7 true [{x 1}]", "lost")
	require.NoError(t, l.Start())
	in.expect(t, "whole x", "changes y", "whole x y", "slice 7 true [{x 1}]", "lost", "whole y", "slice 7 true [{x 1}]")
}

// TestSilentStream checks that a source that sends nothing or an unexpected message is reported as lost.
func TestSilentStream(t *testing.T) {
	for name, first := range map[string]wire.Message{
		"nothing": nil,
		"a hello": &wire.Hello{Version: 1, Proxy: "p", Zone: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			var wg sync.WaitGroup
			wg.Go(func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					if first != nil {
						_, _ = wire.NewWriter(c).Write(first)
					}
					wg.Go(func() {
						_, _ = c.Read(make([]byte, 1<<10))
						time.Sleep(300 * time.Millisecond)
						_ = c.Close() // the client may have closed the connection already
					})
				}
			})
			t.Cleanup(func() {
				assert.NoError(t, l.Close())
				wg.Wait()
			})
			in := &inbox{}
			run(t, NewStream("one", l.Addr().String(), (&net.Dialer{}).DialContext, in, 100*time.Millisecond, zap.NewNop()).Run)
			in.expect(t, "lost")
		})
	}
}

// TestFile checks that a file is read again when it is created, replaced, becomes invalid and becomes valid again.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "endpoints.hcl")
	write := func(text string) {
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	in := &inbox{}
	f := NewFile(path, config.ReadList, in, zap.NewNop())
	run(t, f.Run)
	in.expect(t, "lost")
	write("endpoint \"x\" {\n  zone = \"a\"\n}\n")
	in.expect(t, "lost", "whole x")
	write("endpoint {")
	in.expect(t, "lost", "whole x", "lost")
	write("")
	f.Watch(true)
	time.Sleep(3 * settleTime)
	write("endpoint \"y\" {\n  zone = \"a\"\n}\n")
	in.expect(t, "lost", "whole x", "lost", "whole y")
}

// TestFileWrittenInPlace checks that a file is not read while a writer truncates and rewrites it piece by piece. The
// partial content is valid, but endpoints that are not written yet would be removed.
func TestFileWrittenInPlace(t *testing.T) {
	path, whole := filepath.Join(t.TempDir(), "endpoints.hcl"), ""
	for i := range 40 {
		whole += fmt.Sprintf("endpoint \"x%d\" {\n  zone = \"a\"\n}\n", i)
	}
	require.NoError(t, os.WriteFile(path, []byte(whole), 0o600))
	in := &inbox{}
	f := NewFile(path, config.ReadList, in, zap.NewNop())
	f.settleTime = maxUnsettled / 2 // longer than settleTime, because the writer may be delayed on a busy machine
	run(t, f.Run)
	require.Eventually(t, func() bool {
		in.mu.Lock()
		defer in.mu.Unlock()
		return len(in.got) == 1
	}, 5*time.Second, time.Millisecond)
	want := in.got[0]
	for range 2 {
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_TRUNC, 0)
		require.NoError(t, err)
		for i := 0; i < len(whole); i += 100 {
			_, err := file.WriteString(whole[i:min(len(whole), i+100)])
			require.NoError(t, err)
			time.Sleep(settleTime / 50)
		}
		require.NoError(t, file.Close())
	}
	time.Sleep(maxUnsettled)
	in.expect(t, want)
}

// eagerInbox requests the list as soon as it is lost, like the planner.
type eagerInbox struct {
	f    *File
	lost atomic.Int64 // number of losses
}

// Post implements controller.Inbox.
func (e *eagerInbox) Post(_ context.Context, in controller.Input) error {
	if _, lost := in.(controller.EndpointListLost); lost {
		e.lost.Add(1)
		e.f.Watch(true)
	}
	return nil
}

// TestUnreadableFile checks that an invalid file is not read in an endless loop, although the list is requested again
// after each loss.
func TestUnreadableFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "endpoints.hcl")
	require.NoError(t, os.WriteFile(path, []byte("endpoint {"), 0o600))
	in := &eagerInbox{}
	in.f = NewFile(path, config.ReadList, in, zap.NewNop())
	run(t, in.f.Run)
	time.Sleep(unreadableRetryInterval + unreadableRetryInterval/2)
	assert.LessOrEqual(t, in.lost.Load(), int64(3))
	assert.GreaterOrEqual(t, in.lost.Load(), int64(2))
}
