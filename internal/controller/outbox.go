package controller

import (
	"slices"

	"indigousher/internal/wire"
)

// outbox collects the operations that a turn sends to proxies. Each session holds one pending message until the end of
// the turn.
type outbox struct {
	messageOverhead int        // overhead of a message, in lines
	pendingSessions []*session // sessions with a pending message
}

// add appends an operation to the message that this turn sends to a proxy.
func (o *outbox) add(s *session, op wire.Op) {
	if s.pending == nil {
		s.pending = &wire.Commands{CostLines: o.messageOverhead}
		o.pendingSessions = append(o.pendingSessions, s)
	}
	s.pending.Ops = append(s.pending.Ops, op)
	s.pending.CostLines++
}

// flush adds the messages of this turn to the channel, ordered by proxy index.
func (o *outbox) flush(nowMs float64, channel *Channel) {
	slices.SortFunc(o.pendingSessions, func(a, b *session) int { return a.proxy - b.proxy })
	for _, s := range o.pendingSessions {
		channel.Enqueue(nowMs, s, s.pending)
		s.pending = nil
	}
	o.pendingSessions = o.pendingSessions[:0]
}

// sendToUsers adds an operation to the message of each proxy that uses a table. The table of a slice assigned to this
// pilot is used by all proxies, other tables by those they are assigned to.
func (c *Core) sendToUsers(number int, op wire.Op) {
	isSlice := c.slices.has(number)
	for _, s := range c.sessions.inOrder() {
		_, assigned := s.assignedClasses[number]
		if assigned || isSlice {
			c.outbox.add(s, op)
		}
	}
}
