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
	levels  map[int]planner.SetAdmission // admission levels by request kinds, a bit mask
}

// endpoints returns the endpoints of the table's lines in order.
func (t *table) endpoints() []int { return slices.Sorted(maps.Keys(t.weights)) }

// holds returns whether the table has a line of an endpoint.
func (t *table) holds(endpoint int) bool { return t.weights[endpoint] > 0 }

// tableStore holds all tables as commanded so far.
type tableStore struct {
	byNumber map[int]*table
	// globalLevels are the admission levels that count for all joined proxies, by request kinds.
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
func (c *Core) clearTable(o planner.ClearTable) {
	c.tables.remove(o.Table)
	c.sendToUsers(o.Table, wire.Op{Kind: wire.OpClear, Table: o.Table})
}

// setLine changes a line at all users of its table. An endpoint that is excluded stays so where it was not held before.
func (c *Core) setLine(o planner.SetWeight) {
	t := c.tables.table(o.Table)
	name := c.endpoints.name(o.Endpoint)
	c.sendToUsers(o.Table, wire.Op{Kind: wire.OpSet, Table: o.Table, Endpoint: name, Weight: o.Weight})
	if o.Weight == 0 {
		delete(t.weights, o.Endpoint)
		return
	}
	if c.excluded[o.Endpoint] && t.weights[o.Endpoint] == 0 {
		c.sendToUsers(o.Table, wire.Op{Kind: wire.OpWithdraw, Endpoint: name, Out: true})
	}
	t.weights[o.Endpoint] = o.Weight
}
