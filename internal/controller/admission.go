package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// setAdmission stores an admission level with its retry mode and sends it to all proxies that use the table, or to all
// joined proxies if the table is EveryTable.
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

// sendLevels adds admission levels to a proxy's message, ordered by their request class masks.
func (c *Core) sendLevels(s *session, levels map[int]planner.SetAdmission) {
	for _, classes := range slices.Sorted(maps.Keys(levels)) {
		c.outbox.add(s, admissionOp(levels[classes]))
	}
}

// admissionOp returns the operation that sets an admission level and its retry mode.
func admissionOp(command planner.SetAdmission) wire.Op {
	return wire.Op{
		Kind:      wire.OpSetAdmission,
		Table:     command.Table,
		Classes:   command.Classes,
		Weight:    command.Level,
		RetryMode: command.RetryMode,
	}
}
