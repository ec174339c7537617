package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// keepaliveInterval is the interval of the keepalives of an eventRelay.
const keepaliveInterval = time.Second

// eventRelay is a fake relay that serves event subscriptions: first a snapshot of the connected proxies, then the changes
// and keepalives. A test can silence and reset each subscription's connection.
type eventRelay struct {
	listener net.Listener

	mu        sync.Mutex
	connected map[int]bool // connected proxies, by number
	conns     []*eventConn // in the order in which they were accepted
}

// eventConn is the connection of one subscription. The relay's mu guards it.
type eventConn struct {
	conn   net.Conn
	silent bool // events are lost from now on
}

// newEventRelay returns a relay to which the proxies 0 to count-1 are connected. It serves until the test ends.
func newEventRelay(t *testing.T, count int) *eventRelay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &eventRelay{listener: listener, connected: map[int]bool{}}
	for proxy := range count {
		r.connected[proxy] = true
	}
	var serving sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	serving.Go(r.accept)
	serving.Go(func() { r.sendKeepalives(ctx) })
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
		serving.Wait()
		r.closeAll()
	})
	return r
}

func (r *eventRelay) address() string { return r.listener.Addr().String() }

// accept serves subscriptions until the listener is closed.
func (r *eventRelay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			_ = conn.Close()
			continue
		}
		r.open(conn)
	}
}

// open sends the head of the response and the snapshot.
func (r *eventRelay) open(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	c := &eventConn{conn: conn}
	r.conns = append(r.conns, c)
	for proxy := range r.connected {
		c.send(joined(proxy, false))
	}
}

// send sends a line, unless the connection is silent.
func (c *eventConn) send(line string) {
	if !c.silent {
		_, _ = fmt.Fprintf(c.conn, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
}

// sendAll sends a line on all subscriptions. The caller holds mu.
func (r *eventRelay) sendAll(line string) {
	for _, c := range r.conns {
		c.send(line)
	}
}

// sendKeepalives sends keepalives until ctx is cancelled.
func (r *eventRelay) sendKeepalives(ctx context.Context) {
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.mu.Lock()
			r.sendAll("{}")
			r.mu.Unlock()
		}
	}
}

// disconnect ends the streams of proxies.
func (r *eventRelay) disconnect(proxies ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range proxies {
		delete(r.connected, proxy)
		r.sendAll(left(proxy))
	}
}

// connect opens new streams of proxies, which keep their tables.
func (r *eventRelay) connect(proxies ...int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, proxy := range proxies {
		r.connected[proxy] = true
		r.sendAll(joined(proxy, false))
	}
}

// silence loses all further events of subscription i, in the order of acceptance, without closing it.
func (r *eventRelay) silence(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[i].silent = true
}

// reset closes the connection of subscription i, in the order of acceptance, with a TCP reset.
func (r *eventRelay) reset(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[i].reset()
}

func (c *eventConn) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
	c.silent = true
}

// closeAll closes all connections.
func (r *eventRelay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.conn.Close()
	}
}

// accepted returns the number of subscriptions accepted so far.
func (r *eventRelay) accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// subscribeAll runs all subscriptions of an event stream to the relay until the test ends, and waits until they are open
// and the proxies 0 to count-1 were posted.
func (r *eventRelay) subscribeAll(t *testing.T, count int) (*EventStream, *inbox) {
	b := &inbox{}
	events := NewEventStream(r.address(), b, &Counters{}, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range SubscriptionCount {
		running.Go(func() { assert.NoError(t, events.Run(ctx, i)) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	eventually(t, func() bool { return r.accepted() == SubscriptionCount && len(b.all()) == count })
	return events, b
}

// postedAfter returns the proxies whose "joined" or "resumed" events were posted after the first skip inputs.
func postedAfter(b *inbox, skip int) map[int]bool {
	proxies := map[int]bool{}
	for _, text := range b.all()[skip:] {
		var proxy int
		if _, err := fmt.Sscanf(strings.TrimPrefix(text, "resumed "), "%d", &proxy); err == nil {
			proxies[proxy] = true
		} else if _, err := fmt.Sscanf(text, "joined %d", &proxy); err == nil {
			proxies[proxy] = true
		}
	}
	return proxies
}

// playLostDisconnects resets one subscription while the other one is silent, and breaks the streams of proxies 0 and 1 at
// the same time. Proxy 0 reconnects at once, proxy 1 after the end of the new snapshot. Finally end is called with the
// number of the silent connection, and the result is whether both proxies were posted as connected again.
func playLostDisconnects(t *testing.T, end func(relay *eventRelay, silent int)) bool {
	const proxies = 3
	relay := newEventRelay(t, proxies)
	_, b := relay.subscribeAll(t, proxies)
	time.Sleep(keepaliveInterval + 2*maxDeliveryDelay) // both snapshots have ended, and each has received a keepalive
	relay.silence(0)
	relay.reset(1)
	relay.disconnect(0, 1)
	eventually(t, func() bool { return relay.accepted() == SubscriptionCount+1 })
	relay.connect(0)
	time.Sleep(3 * snapshotQuietPeriod)
	relay.connect(1)
	end(relay, 0)
	again := func() bool {
		posted := postedAfter(b, proxies)
		return posted[0] && posted[1]
	}
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline) && !again(); {
		time.Sleep(10 * time.Millisecond)
	}
	return again()
}

// TestDisconnectsLostBeforeReset guards against review case 6: the streams that broke while one subscription was silent
// and the other one reconnected were never learned of if the silent one was then reset instead of timing out.
func TestDisconnectsLostBeforeReset(t *testing.T) {
	t.Parallel()
	assert.True(t, playLostDisconnects(t, (*eventRelay).reset))
}

// TestDisconnectsLostBeforeTimeout is TestDisconnectsLostBeforeReset with a subscription that stays silent.
func TestDisconnectsLostBeforeTimeout(t *testing.T) {
	t.Parallel()
	assert.True(t, playLostDisconnects(t, func(*eventRelay, int) {}))
}

// TestMoveWithoutGap checks that a change of the relay's address causes no gap, although the old relay closes its
// connections 1.5 s later: both subscriptions move, and no proxy is posted again.
func TestMoveWithoutGap(t *testing.T) {
	t.Parallel()
	const proxies = 3
	old := newEventRelay(t, proxies)
	events, b := old.subscribeAll(t, proxies)
	time.Sleep(keepaliveInterval + 2*maxDeliveryDelay)
	current := newEventRelay(t, proxies)
	events.SetAddress(current.address())
	time.Sleep(1500 * time.Millisecond)
	old.closeAll()
	eventually(t, func() bool { return current.accepted() == SubscriptionCount })
	time.Sleep(2 * snapshotQuietPeriod)
	assert.Len(t, b.all(), proxies, "no proxy was posted again")
	assert.Zero(t, events.Counters.Gaps.Load())
	assert.Zero(t, events.Counters.LateGaps.Load())
	assert.Equal(t, SubscriptionCount, current.accepted(), "no subscription was reopened")
}
