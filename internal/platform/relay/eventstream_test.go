package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/controller"
)

// joined returns a "joined" event of a proxy in zone a.
func joined(proxy int, cold bool) string {
	return fmt.Sprintf(`{"type":"joined","object":{"node":%d,"locality":"a","w":2.5,"cold":%t}}`, proxy, cold)
}

// left returns a "left" event.
func left(proxy int) string { return fmt.Sprintf(`{"type":"left","object":{"node":%d}}`, proxy) }

// applied returns the event that answers the ack request with a number.
func applied(proxy, number int) string {
	return fmt.Sprintf(`{"type":"applied","object":{"node":%d,"nonce":%d,"latency":3}}`, proxy, number)
}

// step calls a method of an event stream as its connections would, without a network.
type step func(t *testing.T, events *EventStream)

// open opens subscription i.
func open(i int) step { return func(_ *testing.T, events *EventStream) { events.subscribed(i) } }

// closeFirst ends the first subscription by a closed connection or a timeout.
func closeFirst(_ *testing.T, events *EventStream) { events.unsubscribed(0) }

// finishSnapshot ends the snapshot of subscription i.
func finishSnapshot(i int) step {
	return func(_ *testing.T, events *EventStream) { events.endSnapshot(context.Background(), i) }
}

// receive delivers a line on subscription i.
func receive(i int, line string) step {
	return func(t *testing.T, events *EventStream) {
		require.NoError(t, events.handleLine(context.Background(), i, []byte(line)))
	}
}

// longGap makes the current gap in the events a minute longer.
func longGap(_ *testing.T, events *EventStream) {
	events.completeUntil = events.completeUntil.Add(-time.Minute)
}

// openedLongAgo makes the times at which the subscriptions opened a minute earlier.
func openedLongAgo(_ *testing.T, events *EventStream) {
	for i := range events.subscriptions {
		events.subscriptions[i].openedAt = events.subscriptions[i].openedAt.Add(-time.Minute)
	}
}

// passed moves all known times of the event stream back, as if a span had passed since.
func passed(span time.Duration) step {
	return func(_ *testing.T, events *EventStream) {
		times := []*time.Time{&events.completeUntil}
		for i := range events.subscriptions {
			sub := &events.subscriptions[i]
			times = append(times, &sub.openedAt, &sub.lastReceived, &sub.lastAnnounced)
		}
		for _, proxy := range events.proxies {
			times = append(times, &proxy.announcedAt)
		}
		for _, at := range times {
			if !at.IsZero() {
				*at = at.Add(-span)
			}
		}
	}
}

// TestEventSequence checks that the events of two subscriptions are merged into one sequence without duplicates, and
// which events are inferred from the snapshot after a gap.
func TestEventSequence(t *testing.T) {
	for name, c := range map[string]struct {
		steps []step
		want  []string
	}{
		"duplicates are dropped": {
			[]step{
				open(0), open(1), receive(0, joined(1, true)), receive(1, joined(1, true)),
				receive(0, applied(1, 7)), receive(1, applied(1, 7)), receive(0, left(1)), receive(1, left(1)),
			},
			[]string{"joined 1", "applied 1 7", "left 1"},
		},
		"startup: second subscription announces first": {
			[]step{
				open(0), open(1), receive(1, joined(1, true)), receive(0, joined(1, true)),
				receive(0, joined(2, true)), receive(1, joined(2, true)), finishSnapshot(0), finishSnapshot(1),
			},
			[]string{"joined 1", "joined 2"},
		},
		"after a gap: second subscription announces first": {
			[]step{
				open(0), receive(0, joined(1, true)), finishSnapshot(0), closeFirst, longGap,
				open(0), open(1), receive(1, joined(1, true)), receive(0, joined(1, true)),
			},
			[]string{"joined 1", "joined 1"},
		},
		"proxy reconnects": {
			[]step{open(0), receive(0, joined(1, true)), receive(0, left(1)), receive(0, joined(1, false))},
			[]string{"joined 1", "left 1", "joined 1"},
		},
		"one subscription disconnects": {
			[]step{
				open(0), open(1), receive(0, joined(1, true)), receive(0, joined(2, true)), receive(1, joined(1, true)),
				receive(1, joined(2, true)), finishSnapshot(0), finishSnapshot(1),
				openedLongAgo, closeFirst, receive(1, left(2)), open(0), receive(0, joined(1, false)), finishSnapshot(0),
			},
			[]string{"joined 1", "joined 2", "left 2"},
		},
		"long gap: missing proxy has left, announced proxy may have reconnected": {
			[]step{
				open(0), receive(0, joined(1, true)), receive(0, joined(2, true)), finishSnapshot(0), closeFirst, longGap,
				open(0), receive(0, joined(1, false)), finishSnapshot(0),
			},
			[]string{"joined 1", "joined 2", "resumed 1", "left 2"},
		},
		"long gap: cold proxy has restarted": {
			[]step{
				open(0), receive(0, joined(1, false)), finishSnapshot(0), closeFirst, longGap,
				open(0), receive(0, joined(1, true)),
			},
			[]string{"joined 1", "joined 1"},
		},
		"short gap: announced proxies may have reconnected": {
			[]step{
				open(0), receive(0, joined(1, true)), receive(0, joined(2, true)), finishSnapshot(0), closeFirst,
				open(0), receive(0, joined(1, false)), receive(0, joined(2, true)), finishSnapshot(0),
			},
			[]string{"joined 1", "joined 2", "resumed 1", "joined 2"},
		},
		"review case 6: proxy that was missing from the snapshot connects while the other subscription is silent": {
			[]step{
				open(0), open(1), receive(0, joined(1, true)), receive(1, joined(1, true)), finishSnapshot(0), finishSnapshot(1),
				openedLongAgo, closeFirst, open(0), finishSnapshot(0), receive(0, joined(1, false)),
			},
			[]string{"joined 1", "resumed 1"},
		},
		"review case 2: proxies connect within the snapshot after a short gap": {
			[]step{
				open(0), receive(0, joined(1, false)), receive(0, joined(2, false)), receive(0, joined(3, false)), finishSnapshot(0),
				closeFirst, open(0), receive(0, joined(3, false)), passed(snapshotQuietPeriod), receive(0, joined(1, false)),
			},
			[]string{"joined 1", "joined 2", "joined 3", "resumed 3", "resumed 1"},
		},
		"late copy of an announcement after the proxy has left": {
			[]step{open(0), open(1), receive(0, joined(1, true)), receive(0, left(1)), receive(1, joined(1, true))},
			[]string{"joined 1", "left 1"},
		},
		"gap after an incomplete first snapshot": {
			[]step{
				open(0), receive(0, joined(1, false)), closeFirst, passed(snapshotQuietPeriod), open(0), receive(0, joined(1, false)),
			},
			[]string{"joined 1", "resumed 1"},
		},
		"incomplete snapshot removes no proxy": {
			[]step{
				open(0), receive(0, joined(1, true)), finishSnapshot(0), closeFirst, longGap,
				open(0), closeFirst, open(0), receive(0, joined(1, false)), finishSnapshot(0),
			},
			[]string{"joined 1", "resumed 1"},
		},
		"events of unknown proxies": {
			[]step{
				open(0), receive(0, applied(4, 1)), receive(0, left(4)), receive(0, "{}"),
				receive(0, `{"type":"joined","object":{}}`),
			},
			nil,
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := &inbox{}
			events := NewEventStream("", b, &Counters{}, zap.NewNop())
			for i := range events.subscriptions {
				events.subscriptions[i].cancel = func() {}
			}
			for _, apply := range c.steps {
				apply(t, events)
			}
			assert.Equal(t, c.want, b.got)
		})
	}
}

// runEvents runs the first subscription in the background. The returned function cancels it and checks that Run returns
// nil.
func runEvents(t *testing.T, events *EventStream) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- events.Run(ctx, 0) }()
	return func() {
		cancel()
		assert.NoError(t, <-ended)
	}
}

// TestEventStreamBreaksInsideLine checks that an incomplete line is ignored when the connection ends within it.
func TestEventStreamBreaksInsideLine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	b := &inbox{}
	end := runEvents(t, NewEventStream(listener.Addr().String(), b, &Counters{}, zap.NewNop()))
	whole := joined(1, true) + "\n" + left(1) + "\n"
	for cut := len(joined(1, true)) + 2; cut < len(whole); cut += 7 {
		conn, err := listener.Accept()
		require.NoError(t, err)
		_, err = conn.Read(make([]byte, 4096))
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
			len(whole), whole[:cut])
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	conn, err := listener.Accept() // all earlier connections have been handled when the client reconnects
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	end()
	for _, what := range b.all() {
		assert.Equal(t, "joined 1", what)
	}
	assert.NotEmpty(t, b.all())
}

// serveEvents starts a server that sends text on the first connection, in chunks of up to five bytes, and nothing
// afterwards. It returns the server's address. The test fails if the client sends anything after its request.
func serveEvents(t *testing.T, text string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		buffer := make([]byte, 4096)
		_, _ = conn.Read(buffer)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for len(text) > 0 {
			n := min(5, len(text))
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", n, text[:n])
			text = text[n:]
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if n, _ := conn.Read(buffer); n > 0 {
			t.Error("the client has sent data after its request")
		}
	}
	go func() { // ends when the listener is closed
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestEventStreamOnSockets runs an event stream on real sockets. It checks lines that are split into chunks, a change
// of the address, and that the client sends nothing after its request.
func TestEventStreamOnSockets(t *testing.T) {
	b := &inbox{}
	address := serveEvents(t, joined(1, true)+"\n"+joined(2, true)+"\n")
	events := NewEventStream(address, b, &Counters{}, zap.NewNop())
	end := runEvents(t, events)
	require.Eventually(t, func() bool { return len(b.all()) == 2 }, 5*time.Second, time.Millisecond)
	events.SetAddress(serveEvents(t, joined(3, true)+"\n"))
	require.Eventually(t, func() bool { return len(b.all()) >= 3 }, 5*time.Second, time.Millisecond)
	end()
	assert.Contains(t, b.all(), "joined 3")
}

// cancellingInbox is an inbox that cancels a subscription's connection while the first input is being posted. It refuses
// an input whose context has ended, as controller.Loop may even if it has room.
type cancellingInbox struct {
	inbox
	cancel func()
	once   sync.Once
}

func (b *cancellingInbox) Post(ctx context.Context, in controller.Input) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	b.once.Do(b.cancel)
	return b.inbox.Post(ctx, in)
}

// TestEventsReceivedBeforeCancelArePosted guards against the cause of review case 7 in the event stream: an event that had
// been received when the connection was cancelled, as by SetAddress, was recorded as handled but not posted.
func TestEventsReceivedBeforeCancelArePosted(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	b := &cancellingInbox{}
	events := NewEventStream(listener.Addr().String(), b, &Counters{}, zap.NewNop())
	b.cancel = func() { events.subscriptions[0].cancel() } // the event stream holds mu while it posts
	end := runEvents(t, events)
	lines := joined(1, false) + "\n" + joined(2, false) + "\n"
	for range 2 { // the client reconnects after the cancellation
		conn, err := listener.Accept()
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Read(make([]byte, 4096))
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(lines), lines)
		require.NoError(t, err)
	}
	time.Sleep(2 * snapshotQuietPeriod)
	end()
	assert.Contains(t, b.all(), "joined 2")
}
