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
	w       window
	coming  []call          // ordered, not yet with the adapter
	queue   []call          // with the adapter, oldest first
	crossed *call           // a call that got no answer and that the adapter still waits for
	channel []channelItem   // messages in the relay's channel, oldest first
	inbox   []channelNote   // on the way to the window, in order
	seen    map[[2]int]bool // answers that came before: the event reader passes each on once
	stalled bool
	left    limits
}

// call is what goes out at once: lines for each proxy, and the marks behind them, the newest last.
type call struct {
	each  map[int]int
	marks []int
}

type channelItem struct{ proxy, lines, mark int }

// channelNote is an answer to a mark, or what a stall tells.
type channelNote struct {
	stall       *ChannelStalled
	proxy, mark int
}

// limits are how often each thing may still happen.
type limits struct{ orders, uncertain, lost, probes int }

const (
	modelBacklog = 5
)

func (m *channelModel) clone() *channelModel {
	c := *m
	c.w.batches = map[int]*batch{}
	for number, b := range m.w.batches {
		copied := *b
		copied.answered = maps.Clone(b.answered)
		c.w.batches[number] = &copied
	}
	c.coming, c.queue, c.channel = slices.Clone(m.coming), slices.Clone(m.queue), slices.Clone(m.channel)
	c.inbox, c.seen = slices.Clone(m.inbox), maps.Clone(m.seen)
	return &c
}

func (m *channelModel) key() string {
	var batches []string
	for _, number := range slices.Sorted(maps.Keys(m.w.batches)) {
		batches = append(batches, fmt.Sprint(number, *m.w.batches[number]))
	}
	var notes []string
	for _, n := range m.inbox {
		if n.stall != nil {
			notes = append(notes, fmt.Sprint(*n.stall))
		} else {
			notes = append(notes, fmt.Sprint(n.proxy, n.mark))
		}
	}
	crossed := ""
	if m.crossed != nil {
		crossed = fmt.Sprint(*m.crossed)
	}
	return fmt.Sprint(m.w.written, m.w.left, m.w.sealed, m.w.stalled, m.w.probes, batches, m.coming, m.queue, crossed,
		m.channel, notes, m.seen, m.stalled, m.left)
}

// order puts lines into the channel as sender.flush does.
func (m *channelModel) order(each map[int]int) {
	lines := map[int]float64{}
	for proxy, n := range each {
		lines[proxy] = float64(n)
		m.w.spend(float64(n))
	}
	m.coming = append(m.coming, call{each: each, marks: []int{m.w.seal(1, lines)}})
}

// next takes the adapter's next call out.
func (m *channelModel) next() call {
	if m.stalled && len(m.queue) > 1 {
		all := call{each: map[int]int{}}
		for _, c := range m.queue {
			for proxy, n := range c.each {
				all.each[proxy] += n
			}
			all.marks = append(all.marks, c.marks...)
		}
		m.queue = []call{all}
	}
	c := m.queue[0]
	m.queue = m.queue[1:]
	if len(c.marks) > 1 {
		m.inbox = append(m.inbox, channelNote{stall: &ChannelStalled{ForMs: pick(m.stalled, 1, 0), Merged: c.marks}})
	}
	return c
}

// cross puts a call's messages into the channel.
func (m *channelModel) cross(c call) {
	for _, proxy := range slices.Sorted(maps.Keys(c.each)) {
		m.channel = append(m.channel, channelItem{proxy, c.each[proxy], c.marks[len(c.marks)-1]})
	}
}

func (m *channelModel) answered() {
	if m.stalled {
		m.inbox = append(m.inbox, channelNote{stall: &ChannelStalled{}})
	}
	m.stalled = false
}

// unanswered has the adapter give up waiting for an answer.
func (m *channelModel) unanswered(c call) {
	m.stalled = true
	m.inbox = append(m.inbox, channelNote{stall: &ChannelStalled{ForMs: 1, Repeated: c.marks}})
	m.queue = append([]call{c}, m.queue...)
}

// move has the first message leave the channel and its proxy answer.
func (m *channelModel) move() {
	item := m.channel[0]
	m.channel = m.channel[1:]
	if id := [2]int{item.proxy, item.mark}; !m.seen[id] {
		m.seen[id] = true
		m.inbox = append(m.inbox, channelNote{proxy: item.proxy, mark: item.mark})
	}
}

// hear has the window take in the next note.
func (m *channelModel) hear() {
	n := m.inbox[0]
	m.inbox = m.inbox[1:]
	if n.stall == nil {
		m.w.answer(1, n.mark, n.proxy)
		return
	}
	m.w.stall(1, n.stall.ForMs)
	m.w.join(n.stall.Merged)
	if mark, again := m.w.repeat(1, n.stall.Repeated); again {
		m.coming = append(m.coming, call{marks: []int{mark}})
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
	calls := len(m.queue) > 0 && m.crossed == nil
	answer := len(m.inbox) > 0 && m.inbox[0].stall == nil
	when(m.left.orders > 0 && m.w.inFlight()+2 <= modelBacklog, func(c *channelModel) { c.left.orders--; c.order(both) })
	when(m.left.orders > 0 && m.w.inFlight()+1 <= modelBacklog, func(c *channelModel) { c.left.orders--; c.order(map[int]int{1: 1}) })
	when(m.left.probes > 0 && m.w.stalled == 0, func(c *channelModel) { c.left.probes--; c.order(map[int]int{0: 1}) })
	when(len(m.coming) > 0, func(c *channelModel) { c.queue, c.coming = append(c.queue, c.coming[0]), c.coming[1:] })
	when(calls, func(c *channelModel) { c.cross(c.next()); c.answered() })
	when(calls && m.left.uncertain > 0, func(c *channelModel) {
		c.left.uncertain--
		out := c.next()
		c.cross(out)
		c.crossed = &out
	})
	when(calls && m.left.uncertain > 0, func(c *channelModel) {
		c.left.uncertain--
		out := c.next()
		c.crossed = &out
	})
	when(m.crossed != nil, func(c *channelModel) { out := *c.crossed; c.crossed = nil; c.unanswered(out) })
	when(len(m.channel) > 0, (*channelModel).move)
	when(len(m.inbox) > 0, (*channelModel).hear)
	when(answer && m.left.lost > 0, func(c *channelModel) { c.left.lost--; c.inbox = c.inbox[1:] })
	return next
}

// settle lets all that is under way arrive, with no further trouble.
func (m *channelModel) settle() {
	for {
		switch {
		case m.crossed != nil:
			out := *m.crossed
			m.crossed = nil
			m.unanswered(out)
		case len(m.inbox) > 0:
			m.hear()
		case len(m.coming) > 0:
			m.queue, m.coming = append(m.queue, m.coming[0]), m.coming[1:]
		case len(m.queue) > 0:
			m.cross(m.next())
			m.answered()
		case len(m.channel) > 0:
			m.move()
		default:
			return
		}
	}
}

// repetitionUnheard returns whether the window has yet to hear that a call goes out again. The adapter pauses meanwhile; in
// the model it may be quicker than the loop.
func (m *channelModel) repetitionUnheard() bool {
	return slices.ContainsFunc(m.inbox, func(n channelNote) bool { return n.stall != nil && len(n.stall.Repeated) > 0 })
}

func (m *channelModel) inChannel() (lines float64) {
	for _, item := range m.channel {
		lines += float64(item.lines)
	}
	return lines
}

// TestWindowInAllOrders visits all orders of calls, losses, repetitions, joined calls and late or lost answers in small. The
// account is never under what waits in the channel, and from everywhere one answered probe empties it. The limits are those
// of seconds; {2, 2, 2, 1} has 3,718,914 states and takes five minutes (played on 2026-12-02).
func TestWindowInAllOrders(t *testing.T) {
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
			assert.Greater(t, exploreWindow(t, &channelModel{seen: map[[2]int]bool{}, left: c.may}), c.least)
		})
	}
}

// exploreWindow checks all states that can be reached and returns how many there are.
func exploreWindow(t *testing.T, start *channelModel) int {
	visited, todo := map[string]bool{start.key(): true}, []*channelModel{start}
	for len(todo) > 0 {
		m := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		if !m.repetitionUnheard() {
			require.LessOrEqual(t, m.inChannel(), m.w.inFlight(), "%s", m.key())
		}
		calm := m.clone()
		calm.settle()
		calm.order(map[int]int{0: 1})
		calm.settle()
		require.Zero(t, calm.w.inFlight(), "after a probe, from %s", m.key())
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

// TestProbeWaits guards the wait before a probe: it runs from the last sign of life and doubles while none comes, to a limit.
func TestProbeWaits(t *testing.T) {
	w := window{}
	w.spend(9)
	mark := w.seal(1000, map[int]float64{3: 9})
	assert.Equal(t, 1500.0, w.probeAt(500))
	for _, wait := range []float64{1000, 2000, 4000, 8000, 8000} {
		w.probed()
		assert.Equal(t, 1000+wait, w.probeAt(500))
	}
	w.stall(2000, 700)
	w.stall(3000, 0)
	assert.Equal(t, 1000+8000.0, w.probeAt(500), "a stall is no sign of life")
	_, known := w.answer(4000, mark, 3)
	assert.True(t, known)
	assert.Equal(t, 4500.0, w.probeAt(500))
	assert.Zero(t, w.inFlight())
}

// TestMarksDiffer guards marks of one millisecond: were they one, an answer to the older would count for the newer.
func TestMarksDiffer(t *testing.T) {
	w, numbers := window{}, map[int]bool{}
	for range 5 {
		w.spend(1)
		numbers[w.seal(math.Trunc(7.9), map[int]float64{1: 1})] = true
	}
	assert.Len(t, numbers, 5)
}
