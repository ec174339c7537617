package pilot

import (
	"indigousher/brain"
	"indigousher/internal/wire"
)

// table is a numbered table as ordered so far.
type table struct {
	lines  map[int]float64
	levels map[int]brain.Admit
}

func (c *Core) table(number int) *table {
	if c.tables[number] == nil {
		c.tables[number] = &table{lines: map[int]float64{}, levels: map[int]brain.Admit{}}
	}
	return c.tables[number]
}

// clearTable removes a table's lines and levels, also at its users.
func (c *Core) clearTable(o brain.ClearTable) {
	delete(c.tables, o.Table)
	c.sendToUsers(o.Table, wire.Op{Kind: wire.OpClear, Table: o.Table})
}

// setLine changes a line at all users of its table. An endpoint shut out stays so where it was not held before.
func (c *Core) setLine(o brain.SetLine) {
	t, name := c.table(o.Table), c.endpoints.name(o.Endpoint)
	c.sendToUsers(o.Table, wire.Op{Kind: wire.OpSet, Table: o.Table, Endpoint: name, Weight: o.Weight})
	if o.Weight == 0 {
		delete(t.lines, o.Endpoint)
		return
	}
	if c.excluded[o.Endpoint] && t.lines[o.Endpoint] == 0 {
		c.sendToUsers(o.Table, wire.Op{Kind: wire.OpWithdraw, Endpoint: name, Out: true})
	}
	t.lines[o.Endpoint] = o.Weight
}
