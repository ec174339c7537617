package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// allClasses returns the bit mask of all request classes.
func (c *Core) allClasses() int { return 1<<c.classes.Len() - 1 }

// assignTable assigns a table to a proxy for the given request classes (0 means all) and sends it. If the proxy listed
// the table in its hello, only the differences are sent.
func (c *Core) assignTable(command planner.AssignTable) {
	s := c.sessions.byProxy[command.Proxy]
	if s == nil {
		c.reportMalformed(malformedAssignment, c.proxies.Name(command.Proxy))
		return
	}
	classes := command.Classes
	if classes == 0 {
		classes = c.allClasses()
	}
	s.assign(command.Table, classes)
	held, keep := s.takeHeldTable(command.Table)
	c.outbox.add(s, wire.Op{Kind: wire.OpAssignTable, Table: command.Table, Classes: classes, KeepLines: keep})
	c.sendTable(s, command.Table, held, keep)
}

// sendTable sends a table to a proxy: its lines, which of its endpoints are excluded, its admission levels and the
// global ones. held holds the weights, by endpoint name, that the proxy already has in this table. If keep is true,
// lines with an unchanged weight are not sent. Held lines that are not in the table are removed at the proxy. sendTable
// modifies held.
func (c *Core) sendTable(s *session, number int, held map[string]float64, keep bool) {
	t := c.tables.table(number)
	for _, endpoint := range t.endpoints() {
		name := c.endpoints.name(endpoint)
		weight := t.weights[endpoint]
		if !keep || held[name] != weight {
			c.outbox.add(s, wire.Op{Kind: wire.OpSetWeight, Table: number, Endpoint: name, Weight: weight})
		}
		delete(held, name)
		if c.excluded[endpoint] {
			c.outbox.add(s, wire.Op{Kind: wire.OpSetExcluded, Endpoint: name, Remove: true})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(held)) {
		c.outbox.add(s, wire.Op{Kind: wire.OpSetWeight, Table: number, Endpoint: name})
	}
	c.sendLevels(s, t.levels)
	c.sendLevels(s, c.tables.globalLevels)
}
