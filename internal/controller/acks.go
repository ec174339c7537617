package controller

import (
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// maxUnacknowledged bounds the marks that a proxy may owe an acknowledgement of; what it owes beyond them is forgotten,
// oldest first.
const maxUnacknowledged = 1024

// pendingAcks are the marks that were sent to a proxy and not acknowledged yet, oldest first.
type pendingAcks []int

// add notes a mark that is sent.
func (p *pendingAcks) add(mark int) {
	marks := append(*p, mark)
	*p = marks[max(0, len(marks)-maxUnacknowledged):]
}

// acknowledge forgets a mark and returns whether it was pending. Were any number taken, a proxy that makes them up
// would have the decider believe that its channel is empty.
func (p *pendingAcks) acknowledge(mark int) bool {
	i := slices.Index(*p, mark)
	if i < 0 {
		return false
	}
	*p = slices.Delete(*p, i, i+1)
	return true
}

// acknowledge appends a proxy's acknowledgement of a mark, if one is pending.
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
			c.outbox.add(s, wire.Op{Kind: wire.OpMark, Number: command.Number})
			s.acks.add(command.Number)
		}
	}
}
