package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// exclusions is the set of endpoints, by index, that are excluded from all tables.
type exclusions map[int]bool

// set excludes an endpoint or ends its exclusion.
func (e exclusions) set(endpoint int, excluded bool) {
	if excluded {
		e[endpoint] = true
	} else {
		delete(e, endpoint)
	}
}

// setExcluded excludes an endpoint, or ends its exclusion, and sends this to the proxies that may hold it (see
// mayHold).
func (c *Core) setExcluded(command planner.SetExcluded) {
	c.excluded.set(command.Endpoint, command.Excluded)
	op := wire.Op{Kind: wire.OpSetExcluded, Endpoint: c.endpoints.name(command.Endpoint), Remove: command.Excluded}
	for _, s := range c.sessions.inOrder() {
		if c.mayHold(s, command.Endpoint) {
			c.outbox.add(s, op)
		}
	}
}

// mayHold reports whether a proxy may have a line for an endpoint: in a table assigned to it, in the table of a slice,
// or in the tables that it had when it joined. The latter count until tables have been assigned for all request
// classes.
func (c *Core) mayHold(s *session, endpoint int) bool {
	if s.coveredClasses != c.allClasses() && s.initialEndpoints[endpoint] {
		return true
	}
	for number := range s.assignedClasses {
		if c.tables.table(number).holds(endpoint) {
			return true
		}
	}
	for number := range c.slices {
		if c.tables.table(number).holds(endpoint) {
			return true
		}
	}
	return false
}
