package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// admit changes an admission level, and the way of retrying that goes with it, at all users of a table or at all joined
// proxies.
func (c *Core) admit(o planner.SetAdmission) {
	if o.Table != planner.EveryTable {
		c.tables.table(o.Table).levels[o.Classes] = o
		c.sendToUsers(o.Table, admissionOp(o))
		return
	}
	c.tables.globalLevels[o.Classes] = o
	for _, s := range c.sessions.inOrder() {
		c.outbox.add(s, admissionOp(o))
	}
}

// sendLevels sends admission levels to a proxy, in the order of their request kinds.
func (c *Core) sendLevels(s *session, levels map[int]planner.SetAdmission) {
	for _, kinds := range slices.Sorted(maps.Keys(levels)) {
		c.outbox.add(s, admissionOp(levels[kinds]))
	}
}

// admissionOp returns the line that sets an admission level.
func admissionOp(o planner.SetAdmission) wire.Op {
	return wire.Op{Kind: wire.OpAdmit, Table: o.Table, Kinds: o.Classes, Weight: o.Level, Again: o.RetryMode}
}
