package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// withdraw tells the proxies that hold an endpoint, as far as this pilot knows what they hold.
func (c *Core) exclude(o brain.Withdraw) {
	if c.excluded[o.Endpoint] = o.Out; !o.Out {
		delete(c.excluded, o.Endpoint)
	}
	op := wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.name(o.Endpoint), Out: o.Out}
	for _, s := range c.sessions.inOrder() {
		if c.holds(s, o.Endpoint) {
			c.outbox.add(s, op)
		}
	}
}

func (c *Core) holds(s *session, endpoint int) bool {
	if s.coveredKinds != 1<<c.kinds.Len()-1 && s.initialEndpoints[endpoint] {
		return true
	}
	for number := range s.boundKinds {
		if c.table(number).lines[endpoint] > 0 {
			return true
		}
	}
	for number := range c.sliceRanges {
		if c.table(number).lines[endpoint] > 0 {
			return true
		}
	}
	return false
}
