package xds

import (
	"math"
	"slices"

	"indigousher/internal/wire"
)

// routing is the routing state of a proxy: its tables, the table that serves each request class, and the endpoints that
// are excluded from all tables.
type routing struct {
	classes      []string // by index
	tables       map[int]*table
	tableByClass map[string]int // table number by request class
	excluded     map[string]bool
}

// table holds weights by endpoint, and admission levels by bit mask of classes.
type table struct {
	weights         map[string]float64
	admissionByMask map[int]float64
}

func newRouting(classes []string) routing {
	return routing{
		classes:      classes,
		tables:       map[int]*table{},
		tableByClass: map[string]int{},
		excluded:     map[string]bool{},
	}
}

// apply applies an op. Key ranges can't be represented in xDS and are ignored.
func (r *routing) apply(op *wire.Op) {
	switch op.Kind {
	case wire.OpAssignTable:
		r.assignTable(op.Table, op.Classes)
	case wire.OpSetWeight:
		r.setWeight(op.Table, op.Endpoint, op.Weight)
	case wire.OpClearTable:
		delete(r.tables, op.Table)
	case wire.OpSetExcluded:
		if op.Remove {
			r.excluded[op.Endpoint] = true
		} else {
			delete(r.excluded, op.Endpoint)
		}
	case wire.OpSetAdmission:
		r.table(op.Table).admissionByMask[op.Classes] = op.Weight
	}
}

// bind clears a table and lets it serve the classes of a mask.
func (r *routing) assignTable(number, classes int) {
	delete(r.tables, number)
	for i, name := range r.classes {
		if maskContains(classes, i) {
			r.tableByClass[name] = number
		}
	}
}

// setWeight sets the weight of an endpoint in a table; 0 removes the endpoint.
func (r *routing) setWeight(number int, endpoint string, weight float64) {
	t := r.table(number)
	if weight <= 0 {
		delete(t.weights, endpoint)
		return
	}
	t.weights[endpoint] = weight
}

// table returns a table and creates it on first use.
func (r *routing) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = &table{weights: map[string]float64{}, admissionByMask: map[int]float64{}}
	}
	return r.tables[number]
}

// anyBound reports whether any class has a table.
func (r *routing) anyAssigned() bool { return len(r.tableByClass) > 0 }

// level returns the fraction of a class's requests that is admitted: the minimum over its table and wire.EveryTable.
func (r *routing) admissionLevel(t *table, class string) float64 {
	level := 1.0
	i := slices.Index(r.classes, class)
	for _, levels := range []map[int]float64{t.admissionByMask, r.table(wire.AllTables).admissionByMask} {
		for mask, v := range levels {
			if maskContains(mask, i) {
				level = math.Min(level, v)
			}
		}
	}
	return level
}

// inMask reports whether a mask contains the class of an index. The mask 0 contains all classes.
func maskContains(mask, class int) bool { return mask == 0 || mask&(1<<class) != 0 }
