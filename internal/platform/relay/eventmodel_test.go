package relay

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/controller"
)

// modelSeeds is the number of drawn days that TestBeliefMatchesStreams plays.
var modelSeeds = flag.Int("model-seeds", 2000, "number of drawn days of the event stream's model")

// Spans of the model, in virtual time.
const (
	modelCalm       = 2 * time.Second         // before the first disturbance
	modelDisturbed  = 3 * time.Second         // disturbances are drawn for so long
	modelSettled    = 10 * time.Second        // from the last disturbance to the check
	modelMinRedial  = 220 * time.Millisecond  // a proxy reconnects no sooner after a break ...
	modelMaxRedial  = 2200 * time.Millisecond // ... and no later, if it does
	modelMaxDelay   = 150 * time.Millisecond  // from the relay to the handling of a line
	modelOldClosed  = 1500 * time.Millisecond
	modelKeepalives = time.Second
)

// modelEvent is something that happens at a virtual time.
type modelEvent struct {
	at     time.Time
	number int // order of scheduling
	happen func()
}

// modelConn is the connection of one subscription.
type modelConn struct {
	address  string
	silent   bool // the relay's lines are lost from now on
	closed   bool // the client has noticed the end, or has ended it
	lastLine time.Time
	heard    time.Time // when the client last received a line
}

// model plays a relay, proxies and the network around an EventStream in virtual time. The event stream's connections are
// replaced by calls of the methods that they would call.
type model struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	queue  []modelEvent
	count  int

	events    *EventStream
	address   string
	reachable bool
	conns     [SubscriptionCount]*modelConn // nil while not connected

	streams map[int]time.Time // by proxy: when its stream opened; absent if it is not connected
	told    map[int]time.Time // by proxy: when it was last posted as joined; absent after it was posted as left
}

// Post records who is believed to be connected.
func (m *model) Post(_ context.Context, in controller.Input) error {
	switch in := in.(type) {
	case controller.RelayProxyJoined:
		m.told[in.Proxy] = m.now
	case controller.RelayProxyLeft:
		delete(m.told, in.Proxy)
	}
	return nil
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), address: "r0", reachable: true,
		streams: map[int]time.Time{}, told: map[int]time.Time{},
	}
	m.events = NewEventStream(m.address, m, &Counters{}, zap.NewNop())
	m.events.now = func() time.Time { return m.now }
	for proxy := range 1 + m.random.IntN(12) {
		m.streams[proxy] = m.now
	}
	for i := range m.conns {
		m.dial(i)
	}
	return m
}

// after schedules what happens after a span.
func (m *model) after(span time.Duration, happen func()) {
	m.count++
	m.queue = append(m.queue, modelEvent{m.now.Add(span), m.count, happen})
}

// span draws a span.
func (m *model) span(from, to time.Duration) time.Duration {
	return from + time.Duration(m.random.Int64N(int64(to-from)+1))
}

// run plays until a time.
func (m *model) run(until time.Time) {
	for len(m.queue) > 0 {
		first := slices.MinFunc(m.queue, func(a, b modelEvent) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number))
		})
		if first.at.After(until) {
			break
		}
		m.queue = slices.DeleteFunc(m.queue, func(e modelEvent) bool { return e.number == first.number })
		m.now = first.at
		first.happen()
	}
	m.now = until
}

// dial does what EventStream.subscribe does up to the response.
func (m *model) dial(i int) {
	sub := &m.events.subscriptions[i]
	sub.address = m.events.address
	c := &modelConn{address: sub.address}
	sub.cancel = func() { m.after(0, func() { m.end(i, c) }) }
	if !m.reachable || c.address != m.address {
		c.closed = true
		m.after(redialDelay, func() { m.dial(i) })
		return
	}
	m.conns[i] = c
	m.after(time.Millisecond, func() {
		if c.closed {
			return
		}
		c.heard = m.now
		m.events.subscribed(i)
		for _, proxy := range slices.Sorted(maps.Keys(m.streams)) {
			m.send(i, c, joined(proxy, false))
		}
		m.keepalive(i, c)
		m.awaitEnd(i, c)
	})
}

// send delivers a line on a connection after a while, unless the connection is silent.
func (m *model) send(i int, c *modelConn, line string) {
	if c.silent || c.closed {
		return
	}
	arrival := m.now.Add(m.span(0, modelMaxDelay))
	if arrival.Before(c.lastLine) {
		arrival = c.lastLine
	}
	c.lastLine = arrival
	m.after(arrival.Sub(m.now), func() {
		if !c.closed {
			c.heard = m.now
			require.NoError(m.t, m.events.handleLine(m.t.Context(), i, []byte(line)))
		}
	})
}

// tell sends a line on all connections.
func (m *model) tell(line string) {
	for i, c := range m.conns {
		if c != nil {
			m.send(i, c, line)
		}
	}
}

// keepalive sends keepalives, and lets the client time out.
func (m *model) keepalive(i int, c *modelConn) {
	if c.closed {
		return
	}
	m.send(i, c, "{}")
	if m.now.Sub(c.heard) > silenceTimeout {
		m.end(i, c)
		return
	}
	m.after(modelKeepalives, func() { m.keepalive(i, c) })
}

// awaitEnd does what awaitSnapshot does.
func (m *model) awaitEnd(i int, c *modelConn) {
	if c.closed {
		return
	}
	if wait := m.events.snapshotRemaining(i); wait > 0 {
		m.after(wait, func() { m.awaitEnd(i, c) })
		return
	}
	m.events.endSnapshot(m.t.Context(), i)
}

// end closes a connection, as its client notices it, and dials anew.
func (m *model) end(i int, c *modelConn) {
	if c.closed {
		return
	}
	c.closed = true
	m.conns[i] = nil
	m.events.unsubscribed(i)
	m.after(redialDelay, func() { m.dial(i) })
}

// reset lets the relay reset a connection; the client notices within a moment, and lines on the way are lost or not.
func (m *model) reset(i int, c *modelConn) {
	c.silent = true
	m.after(m.span(0, modelMaxDelay), func() { m.end(i, c) })
}

// breakStream ends a proxy's stream. Most proxies come back.
func (m *model) breakStream(proxy int) {
	if _, connected := m.streams[proxy]; !connected {
		return
	}
	delete(m.streams, proxy)
	m.tell(left(proxy))
	if m.random.IntN(8) == 0 {
		return
	}
	m.after(m.span(modelMinRedial, modelMaxRedial), func() {
		m.streams[proxy] = m.now
		m.tell(joined(proxy, false))
	})
}

// disturb plays one drawn disturbance.
func (m *model) disturb() {
	i := m.random.IntN(SubscriptionCount)
	c := m.conns[i]
	switch kind := m.random.IntN(6); {
	case kind <= 1: // some streams break at once
		for _, proxy := range m.random.Perm(12)[:1+m.random.IntN(6)] {
			m.breakStream(proxy)
		}
	case kind == 2 && c != nil:
		m.reset(i, c)
	case kind == 3 && c != nil: // one goes silent, and is reset later or never
		c.silent = true
		if m.random.IntN(2) == 0 {
			m.after(m.span(0, 2*time.Second), func() { m.reset(i, c) })
		}
	case kind == 4: // the relay is out of reach
		m.outage()
	case kind == 5:
		m.move()
	}
}

// pause draws the span between two disturbances. Half of them come at nearly the same time.
func (m *model) pause() time.Duration {
	if m.random.IntN(2) == 0 {
		return m.span(0, modelMaxDelay)
	}
	return m.span(0, time.Second)
}

// outage silences all connections, resets them later, and refuses new ones until then.
func (m *model) outage() {
	m.reachable = false
	length := m.span(0, 3*time.Second)
	if m.random.IntN(2) == 0 {
		length = m.span(0, 300*time.Millisecond)
	}
	for i, c := range m.conns {
		if c != nil {
			c.silent = true
			m.after(length, func() { m.reset(i, c) })
		}
	}
	m.after(length, func() { m.reachable = true })
}

// move lets a new configuration name another address of the relay, which closes the connections at the old one later.
func (m *model) move() {
	m.address = fmt.Sprint("r", m.count)
	m.events.SetAddress(m.address)
	for i, c := range m.conns {
		if c != nil {
			m.after(modelOldClosed, func() { m.reset(i, c) })
		}
	}
}

// play plays a drawn day and checks, after it has settled, that exactly the connected proxies are believed connected, and
// that each was posted since its stream opened: otherwise it is not bound to its tables.
func (m *model) play() string {
	m.run(m.now.Add(modelCalm))
	for end := m.now.Add(modelDisturbed); m.now.Before(end); m.run(m.now.Add(m.pause())) {
		m.disturb()
	}
	m.run(m.now.Add(modelSettled))
	for proxy := range 12 {
		opened, connected := m.streams[proxy]
		told, believed := m.told[proxy]
		switch {
		case connected != believed:
			return fmt.Sprintf("proxy %d is connected: %t, believed: %t", proxy, connected, believed)
		case connected && told.Before(opened):
			return fmt.Sprintf("proxy %d was last posted %v before its stream opened", proxy, opened.Sub(told))
		}
	}
	return ""
}

// TestBeliefMatchesStreams guards against review cases 2 and 6 and their like: after drawn days of broken streams, silent
// and broken subscriptions, outages and moves of the relay, the proxies that are believed to be connected are those that
// are, each since its present stream opened. More days: go test ./internal/platform/relay -run TestBelief -model-seeds N
func TestBeliefMatchesStreams(t *testing.T) {
	for seed := range *modelSeeds {
		if failure := newModel(t, uint64(seed)).play(); failure != "" {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
}
