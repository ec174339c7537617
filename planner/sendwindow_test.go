package planner

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// channelModel is a small world around a window: the orders on their way to the relay, its channel, and what comes back.
// It plays the adapter: after a call that failed all that waits goes out as one, under the newest mark.
type channelModel struct {
	window     sendWindow
	ordered    []call          // ordered, not yet with the adapter
	queue      []call          // with the adapter, oldest first
	unanswered *call           // a call that got no answer and that the adapter still waits for
	channel    []channelItem   // messages in the relay's channel, oldest first
	events     []channelEvent  // on the way to the window, in order
	acked      map[[2]int]bool // answers that came before: the event reader passes each on once
	stalled    bool
	remaining  limits
}

// call is what goes out at once: lines for each proxy, and the marks behind them, the newest last.
type call struct {
	linesTo map[int]int
	numbers []int
}

type channelItem struct{ proxy, lines, number int }

// channelEvent is an answer to a mark, or what a stall tells.
type channelEvent struct {
	stall         *ChannelStalled
	proxy, number int
}

// limits are how often each thing may still happen.
type limits struct{ orders, uncertain, lost, probes int }

const (
	modelBacklog = 5
)

func (m *channelModel) clone() *channelModel {
	c := *m
	c.window.batches = map[int]*batch{}
	for number, b := range m.window.batches {
		copied := *b
		copied.acked = maps.Clone(b.acked)
		c.window.batches[number] = &copied
	}
	c.ordered, c.queue, c.channel = slices.Clone(m.ordered), slices.Clone(m.queue), slices.Clone(m.channel)
	c.events, c.acked = slices.Clone(m.events), maps.Clone(m.acked)
	return &c
}

func (m *channelModel) key() string {
	var batches []string
	for _, number := range slices.Sorted(maps.Keys(m.window.batches)) {
		batches = append(batches, fmt.Sprint(number, *m.window.batches[number]))
	}
	var notes []string
	for _, n := range m.events {
		if n.stall != nil {
			notes = append(notes, fmt.Sprint(*n.stall))
		} else {
			notes = append(notes, fmt.Sprint(n.proxy, n.number))
		}
	}
	crossed := ""
	if m.unanswered != nil {
		crossed = fmt.Sprint(*m.unanswered)
	}
	return fmt.Sprint(m.window.written, m.window.delivered, m.window.sealed, m.window.stalledMs, m.window.probes, batches, m.ordered, m.queue, crossed,
		m.channel, notes, m.acked, m.stalled, m.remaining)
}

// write puts lines into the channel as sender.flush does.
func (m *channelModel) write(each map[int]int) {
	lines := map[int]float64{}
	for proxy, n := range each {
		lines[proxy] = float64(n)
		m.window.add(float64(n))
	}
	m.ordered = append(m.ordered, call{linesTo: each, numbers: []int{m.window.seal(1, lines)}})
}

// next takes the adapter's next call out.
func (m *channelModel) next() call {
	if m.stalled && len(m.queue) > 1 {
		all := call{linesTo: map[int]int{}}
		for _, c := range m.queue {
			for proxy, n := range c.linesTo {
				all.linesTo[proxy] += n
			}
			all.numbers = append(all.numbers, c.numbers...)
		}
		m.queue = []call{all}
	}
	c := m.queue[0]
	m.queue = m.queue[1:]
	if len(c.numbers) > 1 {
		m.events = append(m.events, channelEvent{stall: &ChannelStalled{ForMs: pick(m.stalled, 1, 0), Merged: c.numbers}})
	}
	return c
}

// cross puts a call's messages into the channel.
func (m *channelModel) cross(c call) {
	for _, proxy := range slices.Sorted(maps.Keys(c.linesTo)) {
		m.channel = append(m.channel, channelItem{proxy, c.linesTo[proxy], c.numbers[len(c.numbers)-1]})
	}
}

func (m *channelModel) callAnswered() {
	if m.stalled {
		m.events = append(m.events, channelEvent{stall: &ChannelStalled{}})
	}
	m.stalled = false
}

// callTimedOut has the adapter give up waiting for an answer.
func (m *channelModel) callTimedOut(c call) {
	m.stalled = true
	m.events = append(m.events, channelEvent{stall: &ChannelStalled{ForMs: 1, Repeated: c.numbers}})
	m.queue = append([]call{c}, m.queue...)
}

// move has the first message leave the channel and its proxy answer.
func (m *channelModel) move() {
	item := m.channel[0]
	m.channel = m.channel[1:]
	if id := [2]int{item.proxy, item.number}; !m.acked[id] {
		m.acked[id] = true
		m.events = append(m.events, channelEvent{proxy: item.proxy, number: item.number})
	}
}

// handleEvent has the window take in the next note.
func (m *channelModel) handleEvent() {
	n := m.events[0]
	m.events = m.events[1:]
	if n.stall == nil {
		m.window.acknowledge(1, n.number, n.proxy)
		return
	}
	m.window.stall(1, n.stall.ForMs)
	m.window.join(n.stall.Merged)
	if mark, again := m.window.resend(1, n.stall.Repeated); again {
		m.ordered = append(m.ordered, call{numbers: []int{mark}})
	}
}

// steps returns every state that one event leads to.
func (m *channelModel) steps() (next []*channelModel) {
	when := func(can bool, do func(*channelModel)) {
		if can {
			c := m.clone()
			do(c)
			next = append(next, c)
		}
	}
	both := map[int]int{0: 1, 1: 1}
	calls := len(m.queue) > 0 && m.unanswered == nil
	answer := len(m.events) > 0 && m.events[0].stall == nil
	when(m.remaining.orders > 0 && m.window.inFlight()+2 <= modelBacklog, func(c *channelModel) { c.remaining.orders--; c.write(both) })
	when(m.remaining.orders > 0 && m.window.inFlight()+1 <= modelBacklog, func(c *channelModel) { c.remaining.orders--; c.write(map[int]int{1: 1}) })
	when(m.remaining.probes > 0 && m.window.stalledMs == 0, func(c *channelModel) { c.remaining.probes--; c.write(map[int]int{0: 1}) })
	when(len(m.ordered) > 0, func(c *channelModel) { c.queue, c.ordered = append(c.queue, c.ordered[0]), c.ordered[1:] })
	when(calls, func(c *channelModel) { c.cross(c.next()); c.callAnswered() })
	when(calls && m.remaining.uncertain > 0, func(c *channelModel) {
		c.remaining.uncertain--
		out := c.next()
		c.cross(out)
		c.unanswered = &out
	})
	when(calls && m.remaining.uncertain > 0, func(c *channelModel) {
		c.remaining.uncertain--
		out := c.next()
		c.unanswered = &out
	})
	when(m.unanswered != nil, func(c *channelModel) { out := *c.unanswered; c.unanswered = nil; c.callTimedOut(out) })
	when(len(m.channel) > 0, (*channelModel).move)
	when(len(m.events) > 0, (*channelModel).handleEvent)
	when(answer && m.remaining.lost > 0, func(c *channelModel) { c.remaining.lost--; c.events = c.events[1:] })
	return next
}

// settle lets all that is under way arrive, with no further trouble.
func (m *channelModel) settle() {
	for {
		switch {
		case m.unanswered != nil:
			out := *m.unanswered
			m.unanswered = nil
			m.callTimedOut(out)
		case len(m.events) > 0:
			m.handleEvent()
		case len(m.ordered) > 0:
			m.queue, m.ordered = append(m.queue, m.ordered[0]), m.ordered[1:]
		case len(m.queue) > 0:
			m.cross(m.next())
			m.callAnswered()
		case len(m.channel) > 0:
			m.move()
		default:
			return
		}
	}
}

// resendPending returns whether the window has yet to hear that a call goes out again. The adapter pauses meanwhile; in
// the model it may be quicker than the loop.
func (m *channelModel) resendPending() bool {
	return slices.ContainsFunc(m.events, func(n channelEvent) bool { return n.stall != nil && len(n.stall.Repeated) > 0 })
}

func (m *channelModel) inChannel() (lines float64) {
	for _, item := range m.channel {
		lines += float64(item.lines)
	}
	return lines
}

// TestSendWindowInAllOrders visits all orders of calls, losses, repetitions, joined calls and late or lost answers in small. The
// account is never under what waits in the channel, and from everywhere one answered probe empties it. The limits are those
// of seconds; {2, 2, 2, 1} has 3,718,914 states and takes five minutes (played on 2026-12-02).
func TestSendWindowInAllOrders(t *testing.T) {
	for _, c := range []struct {
		may   limits
		least int // states
	}{
		{limits{orders: 2, uncertain: 2}, 1000},
		{limits{orders: 2, uncertain: 1, lost: 1}, 1000},
		{limits{orders: 1, uncertain: 1, lost: 2, probes: 1}, 1000},
	} {
		t.Run(fmt.Sprintf("%+v", c.may), func(t *testing.T) {
			t.Parallel()
			assert.Greater(t, exploreWindow(t, &channelModel{acked: map[[2]int]bool{}, remaining: c.may}), c.least)
		})
	}
}

// exploreWindow checks all states that can be reached and returns how many there are.
func exploreWindow(t *testing.T, start *channelModel) int {
	visited, todo := map[string]bool{start.key(): true}, []*channelModel{start}
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if !m.resendPending() {
			require.LessOrEqual(t, m.inChannel(), m.window.inFlight(), "%s", m.key())
		}
		calm := m.clone()
		calm.settle()
		calm.write(map[int]int{0: 1})
		calm.settle()
		require.Zero(t, calm.window.inFlight(), "after a probe, from %s", m.key())
		for _, n := range m.steps() {
			if k := n.key(); !visited[k] {
				visited[k] = true
				todo = append(todo, n)
			}
		}
	}
	t.Log(len(visited), "states")
	return len(visited)
}

// TestProbeBackoff guards the wait before a probe: it runs from the last sign of life and doubles while none comes, to a limit.
func TestProbeBackoff(t *testing.T) {
	w := sendWindow{}
	w.add(9)
	mark := w.seal(1000, map[int]float64{3: 9})
	assert.Equal(t, 1500.0, w.nextProbeAt(500))
	for _, wait := range []float64{1000, 2000, 4000, 8000, 8000} {
		w.probed()
		assert.Equal(t, 1000+wait, w.nextProbeAt(500))
	}
	w.stall(2000, 700)
	w.stall(3000, 0)
	assert.Equal(t, 1000+8000.0, w.nextProbeAt(500), "a stall is no sign of life")
	_, known := w.acknowledge(4000, mark, 3)
	assert.True(t, known)
	assert.Equal(t, 4500.0, w.nextProbeAt(500))
	assert.Zero(t, w.inFlight())
}

// TestAckNumbersDiffer guards marks of one millisecond: were they one, an answer to the older would count for the newer.
func TestAckNumbersDiffer(t *testing.T) {
	w, numbers := sendWindow{}, map[int]bool{}
	for range 5 {
		w.add(1)
		numbers[w.seal(math.Trunc(7.9), map[int]float64{1: 1})] = true
	}
	assert.Len(t, numbers, 5)
}
