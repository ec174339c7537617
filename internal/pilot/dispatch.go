package pilot

import (
	"slices"

	"indigousher/internal/wire"
)

// toUsers adds a line to the message of each proxy that uses a table.
func (c *Core) sendToUsers(number int, op wire.Op) {
	for _, s := range c.sortedSessions() {
		_, uses := s.boundKinds[number]
		if _, slice := c.sliceRanges[number]; uses || slice {
			c.enqueue(s, op)
		}
	}
}

// write adds a line to a proxy's message of this Handle.
func (c *Core) enqueue(s *session, op wire.Op) {
	if s.pending == nil {
		s.pending = &wire.Orders{Lines: c.plan.HeadLines}
		c.touched = append(c.touched, s)
	}
	s.pending.Ops = append(s.pending.Ops, op)
	s.pending.Lines++
}

// dispatch puts the messages of this Handle into the channel, by proxy.
func (c *Core) dispatch() {
	slices.SortFunc(c.touched, func(a, b *session) int { return a.proxy - b.proxy })
	for _, s := range c.touched {
		c.Channel.Put(c.now, s, s.pending)
		s.pending = nil
	}
	c.touched = c.touched[:0]
}
