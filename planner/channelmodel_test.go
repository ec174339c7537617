package planner

import (
	"fmt"
	"maps"
	"slices"
)

// channelModel is a small world around a window: the calls on their way to the relay, its channel, and what comes back.
// It plays the adapter: after a call that failed all that waits goes out as one, under the newest number.
type channelModel struct {
	window     sendWindow
	issued     []call          // not yet with the adapter
	queue      []call          // with the adapter, oldest first
	unanswered *call           // a call that got no answer and that the adapter still waits for
	channel    []channelItem   // messages in the relay's channel, oldest first
	events     []channelEvent  // on the way to the window, in order
	acked      map[[2]int]bool // acknowledgements that came before: the event reader passes each on once
	stalled    bool
	remaining  stepBudget
}

// call is what goes out at once: lines for each proxy, and the requests for an acknowledgement behind them.
type call struct {
	linesTo map[int]int
	numbers []int // of the requests, the newest last
}

// channelItem is a message in the channel, with a request for an acknowledgement.
type channelItem struct{ proxy, lines, number int }

// channelEvent is an acknowledgement, or news of a stall.
type channelEvent struct {
	stall         *ChannelStalled // nil: an acknowledgement
	proxy, number int
}

// limits are how often each thing may still happen.
type stepBudget struct {
	writes          int
	unansweredCalls int // calls without an answer
	lostAcks        int // acknowledgements
	probes          int
}

// modelBacklog is the number of lines that the model lets wait.
const modelBacklog = 5

// clone returns a copy that shares nothing that changes.
func (m *channelModel) clone() *channelModel {
	c := *m
	c.window.batches = map[int]*batch{}
	for number, b := range m.window.batches {
		copied := *b
		copied.acked = maps.Clone(b.acked)
		c.window.batches[number] = &copied
	}
	c.issued = slices.Clone(m.issued)
	c.queue = slices.Clone(m.queue)
	c.channel = slices.Clone(m.channel)
	c.events = slices.Clone(m.events)
	c.acked = maps.Clone(m.acked)
	return &c
}

// key returns a text that differs between states that differ.
func (m *channelModel) key() string {
	var batches []string
	for _, number := range slices.Sorted(maps.Keys(m.window.batches)) {
		batches = append(batches, fmt.Sprint(number, *m.window.batches[number]))
	}
	var events []string
	for _, event := range m.events {
		if event.stall != nil {
			events = append(events, fmt.Sprint(*event.stall))
		} else {
			events = append(events, fmt.Sprint(event.proxy, event.number))
		}
	}
	unanswered := ""
	if m.unanswered != nil {
		unanswered = fmt.Sprint(*m.unanswered)
	}
	w := &m.window
	return fmt.Sprint(w.written, w.delivered, w.sealed, w.stalledMs, w.probes, batches, m.issued,
		m.queue, unanswered, m.channel, events, m.acked, m.stalled, m.remaining)
}

// write puts lines into the channel as publisher.flush does.
func (m *channelModel) write(linesTo map[int]int) {
	lines := map[int]float64{}
	for proxy, count := range linesTo {
		lines[proxy] = float64(count)
		m.window.add(float64(count))
	}
	m.issued = append(m.issued, call{linesTo: linesTo, numbers: []int{m.window.seal(1, lines)}})
}

// next takes the adapter's next call out.
func (m *channelModel) takeCall() call {
	if m.stalled && len(m.queue) > 1 {
		m.queue = []call{mergeCalls(m.queue)}
	}
	c := m.queue[0]
	m.queue = m.queue[1:]
	if len(c.numbers) > 1 {
		stall := &ChannelStalled{Merged: c.numbers}
		if m.stalled {
			stall.ForMs = 1
		}
		m.events = append(m.events, channelEvent{stall: stall})
	}
	return c
}

// merge makes one call of several.
func mergeCalls(calls []call) call {
	all := call{linesTo: map[int]int{}}
	for _, c := range calls {
		for proxy, lines := range c.linesTo {
			all.linesTo[proxy] += lines
		}
		all.numbers = append(all.numbers, c.numbers...)
	}
	return all
}

// cross puts a call's messages into the channel.
func (m *channelModel) sendCall(c call) {
	for _, proxy := range slices.Sorted(maps.Keys(c.linesTo)) {
		m.channel = append(m.channel, channelItem{proxy, c.linesTo[proxy], c.numbers[len(c.numbers)-1]})
	}
}

// callAnswered ends a stall.
func (m *channelModel) callAnswered() {
	if m.stalled {
		m.events = append(m.events, channelEvent{stall: &ChannelStalled{}})
	}
	m.stalled = false
}

// callTimedOut has the adapter give up waiting for an answer.
func (m *channelModel) requeueCall(c call) {
	m.stalled = true
	m.events = append(m.events, channelEvent{stall: &ChannelStalled{ForMs: 1, Repeated: c.numbers}})
	m.queue = append([]call{c}, m.queue...)
}

// deliver has the first message leave the channel and its proxy acknowledge it.
func (m *channelModel) deliver() {
	item := m.channel[0]
	m.channel = m.channel[1:]
	if id := [2]int{item.proxy, item.number}; !m.acked[id] {
		m.acked[id] = true
		m.events = append(m.events, channelEvent{proxy: item.proxy, number: item.number})
	}
}

// handleEvent has the window take in the next event, as publisher.stalled and acknowledged do.
func (m *channelModel) handleEvent() {
	event := m.events[0]
	m.events = m.events[1:]
	if event.stall == nil {
		m.window.acknowledge(1, event.number, event.proxy)
		return
	}
	m.window.stall(1, event.stall.ForMs)
	m.window.mergeBatches(event.stall.Merged)
	if number, resent := m.window.resend(1, event.stall.Repeated); resent {
		m.issued = append(m.issued, call{numbers: []int{number}})
	}
}

// passOn hands the next call to the adapter.
func (m *channelModel) queueCall() {
	m.queue = append(m.queue, m.issued[0])
	m.issued = m.issued[1:]
}

// timeOut has the adapter give up the call that it waits for.
func (m *channelModel) timeOutCall() {
	out := *m.unanswered
	m.unanswered = nil
	m.requeueCall(out)
}

// callWithoutAnswer makes the next call, whose answer does not come; it may have crossed or not.
func (m *channelModel) sendWithoutAnswer(delivered bool) {
	m.remaining.unansweredCalls--
	out := m.takeCall()
	if delivered {
		m.sendCall(out)
	}
	m.unanswered = &out
}

// mayWrite returns whether the backlog holds more lines and some writes remain.
func (m *channelModel) mayWrite(lines float64) bool {
	return m.remaining.writes > 0 && m.window.inFlight()+lines <= modelBacklog
}

// steps returns every state that one event leads to.
func (m *channelModel) steps() (next []*channelModel) {
	addStep := func(possible bool, do func(*channelModel)) {
		if possible {
			c := m.clone()
			do(c)
			next = append(next, c)
		}
	}
	calls := len(m.queue) > 0 && m.unanswered == nil
	uncertain := calls && m.remaining.unansweredCalls > 0
	ackComing := len(m.events) > 0 && m.events[0].stall == nil
	addStep(m.mayWrite(2), func(c *channelModel) { c.remaining.writes--; c.write(map[int]int{0: 1, 1: 1}) })
	addStep(m.mayWrite(1), func(c *channelModel) { c.remaining.writes--; c.write(map[int]int{1: 1}) })
	mayProbe := m.remaining.probes > 0 && m.window.stalledMs == 0
	addStep(mayProbe, func(c *channelModel) { c.remaining.probes--; c.write(map[int]int{0: 1}) })
	addStep(len(m.issued) > 0, (*channelModel).queueCall)
	addStep(calls, func(c *channelModel) { c.sendCall(c.takeCall()); c.callAnswered() })
	addStep(uncertain, func(c *channelModel) { c.sendWithoutAnswer(true) })
	addStep(uncertain, func(c *channelModel) { c.sendWithoutAnswer(false) })
	addStep(m.unanswered != nil, (*channelModel).timeOutCall)
	addStep(len(m.channel) > 0, (*channelModel).deliver)
	addStep(len(m.events) > 0, (*channelModel).handleEvent)
	addStep(ackComing && m.remaining.lostAcks > 0, func(c *channelModel) { c.remaining.lostAcks--; c.events = c.events[1:] })
	return next
}

// settle lets all that is under way arrive, without further faults.
func (m *channelModel) settle() {
	for {
		switch {
		case m.unanswered != nil:
			m.timeOutCall()
		case len(m.events) > 0:
			m.handleEvent()
		case len(m.issued) > 0:
			m.queueCall()
		case len(m.queue) > 0:
			m.sendCall(m.takeCall())
			m.callAnswered()
		case len(m.channel) > 0:
			m.deliver()
		default:
			return
		}
	}
}

// resendPending returns whether the news that a call goes out again has yet to reach the window. The adapter pauses
// meanwhile; in the model it may be quicker than the loop.
func (m *channelModel) resendPending() bool {
	return slices.ContainsFunc(m.events, func(event channelEvent) bool {
		return event.stall != nil && len(event.stall.Repeated) > 0
	})
}

// inChannel returns how many lines wait in the channel.
func (m *channelModel) inChannel() (lines float64) {
	for _, item := range m.channel {
		lines += float64(item.lines)
	}
	return lines
}
