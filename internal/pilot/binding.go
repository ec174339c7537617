package pilot

import (
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// bind sends a whole table, or what differs from the one that the proxy said it has: its lines, levels, those for all, and which of its endpoints are shut out.
func (c *Core) bind(o brain.Bind) {
	s := c.sessions.byProxy[o.Proxy]
	if s == nil {
		c.reportMalformed(malformedBindOfLeftProxy, c.proxies.Name(o.Proxy))
		return
	}
	kinds := o.Kinds
	if kinds == 0 {
		kinds = 1<<c.kinds.Len() - 1
	}
	s.bind(o.Table, kinds)
	has, keep := s.takeHeldTable(o.Table)
	c.outbox.add(s, wire.Op{Kind: wire.OpBind, Table: o.Table, Kinds: kinds, Keep: keep})
	c.sendTable(s, o.Table, has, keep)
}

// layTable writes the lines of a table, but for those that the proxy has kept, and its levels.
func (c *Core) sendTable(s *session, number int, has map[string]float64, keep bool) {
	t := c.table(number)
	for _, i := range slices.Sorted(maps.Keys(t.lines)) {
		name := c.endpoints.name(i)
		if !keep || has[name] != t.lines[i] {
			c.outbox.add(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name, Weight: t.lines[i]})
		}
		delete(has, name)
		if c.excluded[i] {
			c.outbox.add(s, wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.name(i), Out: true})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(has)) { // what it has beyond that
		c.outbox.add(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name})
	}
	for _, levels := range []map[int]brain.Admit{t.levels, c.globalLevels} {
		for _, k := range slices.Sorted(maps.Keys(levels)) {
			c.outbox.add(s, admissionOp(levels[k]))
		}
	}
}
