package pilot

import (
	"maps"
	"slices"

	"indigousher/brain"
	"indigousher/internal/wire"
)

// bind sends a whole table, or what differs from the one that the proxy said it has: its lines, levels, those for all, and which of its endpoints are shut out.
func (c *Core) bind(o brain.Bind) {
	s := c.sessions[o.Proxy]
	if s == nil {
		c.odd("bind of a proxy that has left", c.proxies.Name(o.Proxy))
		return
	}
	kinds := o.Kinds
	if kinds == 0 {
		kinds = 1<<c.kinds.Len() - 1
	}
	for number, held := range s.bound {
		if s.bound[number] = held &^ kinds; s.bound[number] == 0 {
			delete(s.bound, number)
		}
	}
	s.bound[o.Table] |= kinds
	s.covered |= kinds
	has, keep := s.tables[o.Table]
	delete(s.tables, o.Table)
	c.write(s, wire.Op{Kind: wire.OpBind, Table: o.Table, Kinds: kinds, Keep: keep})
	c.layTable(s, o.Table, has, keep)
}

// layTable writes the lines of a table, but for those that the proxy has kept, and its levels.
func (c *Core) layTable(s *session, number int, has map[string]float64, keep bool) {
	t := c.table(number)
	for _, i := range slices.Sorted(maps.Keys(t.lines)) {
		name := c.endpoints.Name(i)
		if !keep || has[name] != t.lines[i] {
			c.write(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name, Weight: t.lines[i]})
		}
		delete(has, name)
		if c.withdrawn[i] {
			c.write(s, wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.Name(i), Out: true})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(has)) { // what it has beyond that
		c.write(s, wire.Op{Kind: wire.OpSet, Table: number, Endpoint: name})
	}
	for _, levels := range []map[int]brain.Admit{t.levels, c.everywhere} {
		for _, k := range slices.Sorted(maps.Keys(levels)) {
			c.write(s, admitOp(levels[k]))
		}
	}
}
