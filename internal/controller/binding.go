package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// allKinds returns the bit mask of all request kinds.
func (c *Core) allKinds() int { return 1<<c.kinds.Len() - 1 }

// bind puts a proxy on a table for some request kinds, or all, and sends it the table: whole, or what differs from the
// one that the proxy said it has.
func (c *Core) bind(o planner.AssignTable) {
	s := c.sessions.byProxy[o.Proxy]
	if s == nil {
		c.reportMalformed(malformedBindOfLeftProxy, c.proxies.Name(o.Proxy))
		return
	}
	kinds := o.Classes
	if kinds == 0 {
		kinds = c.allKinds()
	}
	s.bind(o.Table, kinds)
	held, keep := s.takeHeldTable(o.Table)
	c.outbox.add(s, wire.Op{Kind: wire.OpBind, Table: o.Table, Kinds: kinds, Keep: keep})
	c.sendTable(s, o.Table, held, keep)
}

// sendTable sends a table to a proxy: its lines, which of its endpoints are excluded, its admission levels and those
// for all. With keep, the proxy keeps the lines that it holds: those of the same weight are not sent, those beyond the
// table are removed. held is used up.
func (c *Core) sendTable(s *session, number int, held map[string]float64, keep bool) {
	t := c.tables.table(number)
	for _, endpoint := range t.endpoints() {
		name := c.endpoints.name(endpoint)
		weight := t.weights[endpoint]
		if !keep || held[name] != weight {
			c.outbox.add(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name, Weight: weight})
		}
		delete(held, name)
		if c.excluded[endpoint] {
			c.outbox.add(s, wire.Op{Kind: wire.OpWithdraw, Endpoint: name, Out: true})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(held)) {
		c.outbox.add(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name})
	}
	c.sendLevels(s, t.levels)
	c.sendLevels(s, c.tables.globalLevels)
}
