package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// setAdmission changes an admission level, and the way of retrying that goes with it, at all users of a table or at all
// joined proxies.
func (c *Core) setAdmission(command planner.SetAdmission) {
	if command.Table != planner.EveryTable {
		c.tables.table(command.Table).levels[command.Classes] = command
		c.sendToUsers(command.Table, admissionOp(command))
		return
	}
	c.tables.globalLevels[command.Classes] = command
	for _, s := range c.sessions.inOrder() {
		c.outbox.add(s, admissionOp(command))
	}
}

// sendLevels sends admission levels to a proxy, in the order of their request classes.
func (c *Core) sendLevels(s *session, levels map[int]planner.SetAdmission) {
	for _, classes := range slices.Sorted(maps.Keys(levels)) {
		c.outbox.add(s, admissionOp(levels[classes]))
	}
}

// admissionOp returns the line that sets an admission level.
func admissionOp(command planner.SetAdmission) wire.Op {
	return wire.Op{
		Kind:      wire.OpSetAdmission,
		Table:     command.Table,
		Classes:   command.Classes,
		Weight:    command.Level,
		RetryMode: command.RetryMode,
	}
}
