package planner

import (
	"fmt"
	"maps"
	"slices"
)

// channelModel is a small model of a send window and its environment: the adapter that sends commands to the relay in
// calls, the relay's channel, and the events that come back. Like the real adapter, it sends all queued commands in a
// single call after a failed call, under the newest number.
type channelModel struct {
	window     sendWindow
	issued     []call          // calls that have not reached the adapter, oldest first
	queue      []call          // calls queued at the adapter, oldest first
	unanswered *call           // call that will get no answer, until the adapter's timeout; nil: none
	channel    []channelItem   // messages in the relay's channel, oldest first
	events     []channelEvent  // events that have not reached the window, oldest first
	acked      map[[2]int]bool // acknowledgements, by proxy and number, that have been sent: each is sent only once
	stalled    bool            // the adapter's latest call timed out
	remaining  stepBudget
}

// call is one call to the relay: lines by proxy, followed by requests for an acknowledgement.
type call struct {
	linesTo map[int]int // number of lines by proxy
	numbers []int       // numbers of the requests, the newest last
}

// channelItem is a message to a proxy in the channel, with its number of lines and the number of its request for an
// acknowledgement.
type channelItem struct{ proxy, lines, number int }

// channelEvent is an acknowledgement or a ChannelStalled event.
type channelEvent struct {
	stall         *ChannelStalled // nil for an acknowledgement
	proxy, number int             // of an acknowledgement
}

// stepBudget is the number of steps of each kind that may still happen.
type stepBudget struct {
	writes          int // batches of lines that are written
	unansweredCalls int // calls that time out
	lostAcks        int // acknowledgements that are lost
	probes          int // probes that are sent
}

// modelBacklog is the largest number of lines that the model allows in flight.
const modelBacklog = 5

// clone returns a copy that shares no mutable state with the original.
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

// key returns a string that identifies the state: different states have different keys.
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

// write adds lines to the window and issues a call with them, as publisher.flush does.
func (m *channelModel) write(linesTo map[int]int) {
	lines := map[int]float64{}
	for proxy, count := range linesTo {
		lines[proxy] = float64(count)
		m.window.add(float64(count))
	}
	m.issued = append(m.issued, call{linesTo: linesTo, numbers: []int{m.window.seal(1, lines)}})
}

// takeCall removes the adapter's next call from its queue. During a stall it first merges all queued calls.
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

// mergeCalls merges several calls into one.
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

// sendCall delivers a call to the relay, which adds its messages to the channel.
func (m *channelModel) sendCall(c call) {
	for _, proxy := range slices.Sorted(maps.Keys(c.linesTo)) {
		m.channel = append(m.channel, channelItem{proxy, c.linesTo[proxy], c.numbers[len(c.numbers)-1]})
	}
}

// callAnswered records that the relay answered a call, which ends a stall.
func (m *channelModel) callAnswered() {
	if m.stalled {
		m.events = append(m.events, channelEvent{stall: &ChannelStalled{}})
	}
	m.stalled = false
}

// requeueCall reports that a call timed out and puts it back to the front of the adapter's queue.
func (m *channelModel) requeueCall(c call) {
	m.stalled = true
	m.events = append(m.events, channelEvent{stall: &ChannelStalled{ForMs: 1, Repeated: c.numbers}})
	m.queue = append([]call{c}, m.queue...)
}

// deliver removes the first message from the channel and lets its proxy acknowledge it.
func (m *channelModel) deliver() {
	item := m.channel[0]
	m.channel = m.channel[1:]
	if id := [2]int{item.proxy, item.number}; !m.acked[id] {
		m.acked[id] = true
		m.events = append(m.events, channelEvent{proxy: item.proxy, number: item.number})
	}
}

// handleEvent applies the next event to the window, as publisher.handleStall and publisher.handleAck do.
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

// queueCall moves the next issued call to the adapter's queue.
func (m *channelModel) queueCall() {
	m.queue = append(m.queue, m.issued[0])
	m.issued = m.issued[1:]
}

// timeOutCall ends the adapter's wait for the answer to the unanswered call.
func (m *channelModel) timeOutCall() {
	out := *m.unanswered
	m.unanswered = nil
	m.requeueCall(out)
}

// sendWithoutAnswer makes the adapter's next call, which gets no answer, whether or not it was delivered.
func (m *channelModel) sendWithoutAnswer(delivered bool) {
	m.remaining.unansweredCalls--
	out := m.takeCall()
	if delivered {
		m.sendCall(out)
	}
	m.unanswered = &out
}

// mayWrite returns whether the budget allows another write and the given lines fit into the backlog.
func (m *channelModel) mayWrite(lines float64) bool {
	return m.remaining.writes > 0 && m.window.inFlight()+lines <= modelBacklog
}

// steps returns all states that can follow this state in one step.
func (m *channelModel) steps() (next []*channelModel) {
	addStep := func(possible bool, do func(*channelModel)) {
		if possible {
			c := m.clone()
			do(c)
			next = append(next, c)
		}
	}
	mayCall := len(m.queue) > 0 && m.unanswered == nil
	mayTimeOut := mayCall && m.remaining.unansweredCalls > 0
	ackIsNext := len(m.events) > 0 && m.events[0].stall == nil
	addStep(m.mayWrite(2), func(c *channelModel) { c.remaining.writes--; c.write(map[int]int{0: 1, 1: 1}) })
	addStep(m.mayWrite(1), func(c *channelModel) { c.remaining.writes--; c.write(map[int]int{1: 1}) })
	mayProbe := m.remaining.probes > 0 && m.window.stalledMs == 0
	addStep(mayProbe, func(c *channelModel) { c.remaining.probes--; c.write(map[int]int{0: 1}) })
	addStep(len(m.issued) > 0, (*channelModel).queueCall)
	addStep(mayCall, func(c *channelModel) { c.sendCall(c.takeCall()); c.callAnswered() })
	addStep(mayTimeOut, func(c *channelModel) { c.sendWithoutAnswer(true) })
	addStep(mayTimeOut, func(c *channelModel) { c.sendWithoutAnswer(false) })
	addStep(m.unanswered != nil, (*channelModel).timeOutCall)
	addStep(len(m.channel) > 0, (*channelModel).deliver)
	addStep(len(m.events) > 0, (*channelModel).handleEvent)
	addStep(ackIsNext && m.remaining.lostAcks > 0, func(c *channelModel) { c.remaining.lostAcks--; c.events = c.events[1:] })
	return next
}

// settle runs the model without further faults until all calls, messages and events have arrived.
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

// resendPending returns whether an event that reports a repeated call has not yet reached the window. The real adapter
// pauses in this time; in the model it may continue before the planner handles the event.
func (m *channelModel) resendPending() bool {
	return slices.ContainsFunc(m.events, func(event channelEvent) bool {
		return event.stall != nil && len(event.stall.Repeated) > 0
	})
}

// inChannel returns the number of lines in the channel.
func (m *channelModel) inChannel() (lines float64) {
	for _, item := range m.channel {
		lines += float64(item.lines)
	}
	return lines
}
