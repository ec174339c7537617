package controller

import (
	"indigousher/internal/wire"
	"indigousher/planner"
)

// exclusions are the endpoints that are shut out of all tables, by index.
type exclusions map[int]bool

// set shuts an endpoint out or lets it in again.
func (e exclusions) set(endpoint int, excluded bool) {
	if excluded {
		e[endpoint] = true
	} else {
		delete(e, endpoint)
	}
}

// setExcluded shuts an endpoint out, or lets it in again, at the proxies that hold it, as far as this pilot knows
// what they hold.
func (c *Core) setExcluded(command planner.SetExcluded) {
	c.excluded.set(command.Endpoint, command.Excluded)
	op := wire.Op{Kind: wire.OpWithdraw, Endpoint: c.endpoints.name(command.Endpoint), Out: command.Excluded}
	for _, s := range c.sessions.inOrder() {
		if c.mayHold(s, command.Endpoint) {
			c.outbox.add(s, op)
		}
	}
}

// mayHold returns whether a proxy may hold a line of an endpoint: from what it held when it joined, until tables cover
// all request classes, from a table that is assigned to it, or from that of a slice.
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
