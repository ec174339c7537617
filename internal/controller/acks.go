package controller

import (
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// maxPendingAcks is the maximum number of unanswered ack requests that are kept per proxy. Beyond it the oldest is
// dropped.
const maxPendingAcks = 1024

// pendingAcks holds the numbers of the ack requests that were sent to a proxy and not answered yet, oldest first.
type pendingAcks []int

// add records an ack request that is being sent. It drops the oldest one if more than maxPendingAcks are pending.
func (p *pendingAcks) add(number int) {
	numbers := append(*p, number)
	*p = numbers[max(0, len(numbers)-maxPendingAcks):]
}

// acknowledge removes an ack request and reports whether it was pending. Numbers that were never sent are not accepted:
// a proxy that invents them could make the decider believe that the channel is empty.
func (p *pendingAcks) acknowledge(number int) bool {
	i := slices.Index(*p, number)
	if i < 0 {
		return false
	}
	*p = slices.Delete(*p, i, i+1)
	return true
}

// acknowledge appends an Ack event if the proxy's answer matches a pending ack request.
func (c *Core) acknowledge(events []planner.Event, in Acked) []planner.Event {
	s := c.sessions.byStream[in.Stream]
	if s == nil || !s.acks.acknowledge(in.Done.Mark) {
		return events
	}
	return append(events, planner.Ack{Proxy: s.proxy, Number: in.Done.Mark, TookMs: in.Done.TookMs})
}

// requestAcks adds an ack request to each message of this turn. If command.All is set, proxies without a message in
// this turn get one too.
func (c *Core) requestAcks(command planner.AckRequest) {
	for _, s := range c.sessions.inOrder() {
		if s.pending != nil || command.All {
			c.outbox.add(s, wire.Op{Kind: wire.OpAckRequest, AckNumber: command.Number})
			s.acks.add(command.Number)
		}
	}
}
