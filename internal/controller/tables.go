package controller

import (
	"maps"
	"slices"

	"indigousher/internal/wire"
	"indigousher/planner"
)

// table is a routing table: the weights and admission levels that result from the commands so far.
type table struct {
	weights map[int]float64              // weights by endpoint; 0 only if the store had such a line
	levels  map[int]planner.SetAdmission // admission levels by bit mask of request classes
}

// endpoints returns the indices of the table's endpoints in ascending order.
func (t *table) endpoints() []int { return slices.Sorted(maps.Keys(t.weights)) }

// holds reports whether the table has a positive weight for an endpoint.
func (t *table) holds(endpoint int) bool { return t.weights[endpoint] > 0 }

// tableStore holds all tables by number.
type tableStore struct {
	byNumber map[int]*table
	// globalLevels holds the admission levels that apply to all tables, by bit mask of request classes.
	globalLevels map[int]planner.SetAdmission
}

// newTableStore returns an empty store.
func newTableStore() tableStore {
	return tableStore{byNumber: map[int]*table{}, globalLevels: map[int]planner.SetAdmission{}}
}

// table returns a table by number. It creates an empty one if there is none.
func (s *tableStore) table(number int) *table {
	t := s.byNumber[number]
	if t == nil {
		t = &table{weights: map[int]float64{}, levels: map[int]planner.SetAdmission{}}
		s.byNumber[number] = t
	}
	return t
}

// remove deletes a table with its lines and levels.
func (s *tableStore) remove(number int) { delete(s.byNumber, number) }

// clearTable deletes a table's lines and levels, here and at the proxies that use it.
func (c *Core) clearTable(command planner.ClearTable) {
	c.tables.remove(command.Table)
	c.sendToUsers(command.Table, wire.Op{Kind: wire.OpClearTable, Table: command.Table})
}

// setWeight sets the weight of an endpoint in a table, here and at the proxies that use the table. If an excluded
// endpoint is added to the table, its exclusion is sent as well, because proxies that did not have the endpoint do not
// know of it.
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
