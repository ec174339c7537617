package controller

import (
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// maxPendingAcks limits the ack requests that a proxy may leave unanswered; beyond it the oldest are forgotten.
const maxPendingAcks = 1024

// pendingAcks are the numbers of the ack requests that were sent to a proxy and not answered yet, oldest first.
type pendingAcks []int

// add takes in an ack request that is sent.
func (p *pendingAcks) add(number int) {
	numbers := append(*p, number)
	*p = numbers[max(0, len(numbers)-maxPendingAcks):]
}

// acknowledge forgets an ack request and returns whether it was pending. Were any number taken, a proxy that makes them
// up would have the decider believe that its channel is empty.
func (p *pendingAcks) acknowledge(number int) bool {
	i := slices.Index(*p, number)
	if i < 0 {
		return false
	}
	*p = slices.Delete(*p, i, i+1)
	return true
}

// acknowledge appends a proxy's answer to an ack request, if that is pending.
func (c *Core) acknowledge(events []planner.Event, in Acked) []planner.Event {
	s := c.sessions.byStream[in.Stream]
	if s == nil || !s.acks.acknowledge(in.Done.Mark) {
		return events
	}
	return append(events, planner.Ack{Proxy: s.proxy, Number: in.Done.Mark, TookMs: in.Done.TookMs})
}

// requestAcks asks the proxies that this turn reaches, or all, to acknowledge what they were sent.
func (c *Core) requestAcks(command planner.AckRequest) {
	for _, s := range c.sessions.inOrder() {
		if s.pending != nil || command.All {
			c.outbox.add(s, wire.Op{Kind: wire.OpAckRequest, AckNumber: command.Number})
			s.acks.add(command.Number)
		}
	}
}
