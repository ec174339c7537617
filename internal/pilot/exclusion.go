package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// withdraw tells the proxies that hold an endpoint, as far as this pilot knows what they hold.
func (c *Core) withdraw(o brain.Withdraw) {
	if c.withdrawn[o.Endpoint] = o.Out; !o.Out {
		delete(c.withdrawn, o.Endpoint)
	}
	op := wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.Name(o.Endpoint), Out: o.Out}
	for _, s := range c.inOrder() {
		if c.holds(s, o.Endpoint) {
			c.write(s, op)
		}
	}
}

func (c *Core) holds(s *session, endpoint int) bool {
	if s.covered != 1<<c.kinds.Len()-1 && s.holds[endpoint] {
		return true
	}
	for number := range s.bound {
		if c.table(number).lines[endpoint] > 0 {
			return true
		}
	}
	for number := range c.slices {
		if c.table(number).lines[endpoint] > 0 {
			return true
		}
	}
	return false
}
