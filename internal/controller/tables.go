package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// table is a numbered table as commanded so far.
type table struct {
	weights map[int]float64              // its lines: weights by endpoint; 0 only where stored so
	levels  map[int]planner.SetAdmission // admission levels by request classes, a bit mask
}

// endpoints returns the endpoints of the table's lines in order.
func (t *table) endpoints() []int { return slices.Sorted(maps.Keys(t.weights)) }

// holds returns whether the table has a line of an endpoint.
func (t *table) holds(endpoint int) bool { return t.weights[endpoint] > 0 }

// tableStore holds all tables as commanded so far.
type tableStore struct {
	byNumber map[int]*table
	// globalLevels are the admission levels that count for all joined proxies, by request classes.
	globalLevels map[int]planner.SetAdmission
}

// newTableStore returns a store without tables.
func newTableStore() tableStore {
	return tableStore{byNumber: map[int]*table{}, globalLevels: map[int]planner.SetAdmission{}}
}

// table returns a table, an empty one at its first use.
func (s *tableStore) table(number int) *table {
	t := s.byNumber[number]
	if t == nil {
		t = &table{weights: map[int]float64{}, levels: map[int]planner.SetAdmission{}}
		s.byNumber[number] = t
	}
	return t
}

// remove forgets a table's lines and levels.
func (s *tableStore) remove(number int) { delete(s.byNumber, number) }

// clearTable removes a table's lines and levels, also at its users.
func (c *Core) clearTable(command planner.ClearTable) {
	c.tables.remove(command.Table)
	c.sendToUsers(command.Table, wire.Op{Kind: wire.OpClearTable, Table: command.Table})
}

// setWeight changes a line at all users of its table. An endpoint that is excluded stays so where it was not held
// before.
func (c *Core) setWeight(command planner.SetWeight) {
	t := c.tables.table(command.Table)
	name := c.endpoints.name(command.Endpoint)
	c.sendToUsers(command.Table, wire.Op{Kind: wire.OpSetWeight, Table: command.Table, Endpoint: name, Weight: command.Weight})
	if command.Weight == 0 {
		delete(t.weights, command.Endpoint)
		return
	}
	if c.excluded[command.Endpoint] && t.weights[command.Endpoint] == 0 {
		c.sendToUsers(command.Table, wire.Op{Kind: wire.OpSetExcluded, Endpoint: name, Remove: true})
	}
	t.weights[command.Endpoint] = command.Weight
}
