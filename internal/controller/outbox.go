package controller

import (
	"slices"

	"indigousher/internal/wire"
)

// outbox collects what a turn has to say to proxies: one message for each session, held by the session itself until the
// turn's end.
type outbox struct {
	headLines       int        // that a message counts beside its own lines
	pendingSessions []*session // that have a pending message
}

// add appends a line to a proxy's message of this turn.
func (o *outbox) add(s *session, op wire.Op) {
	if s.pending == nil {
		s.pending = &wire.Orders{Lines: o.headLines}
		o.pendingSessions = append(o.pendingSessions, s)
	}
	s.pending.Ops = append(s.pending.Ops, op)
	s.pending.Lines++
}

// flush puts the messages of this turn into the channel, by proxy.
func (o *outbox) flush(nowMs float64, channel *Channel) {
	slices.SortFunc(o.pendingSessions, func(a, b *session) int { return a.proxy - b.proxy })
	for _, s := range o.pendingSessions {
		channel.Enqueue(nowMs, s, s.pending)
		s.pending = nil
	}
	o.pendingSessions = o.pendingSessions[:0]
}

// sendToUsers adds a line to the message of each proxy that uses a table: one assigned to the proxy, or that of a slice
// assigned to this pilot.
func (c *Core) sendToUsers(number int, op wire.Op) {
	isSlice := c.slices.has(number)
	for _, s := range c.sessions.inOrder() {
		_, assigned := s.assignedClasses[number]
		if assigned || isSlice {
			c.outbox.add(s, op)
		}
	}
}
