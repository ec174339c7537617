package xds

import (
	"math"
	"slices"

	"indigousher/internal/wire"
)

// routing is the routing state of a proxy: its tables, the table assigned to each request class, and the endpoints that
// are excluded from all tables.
type routing struct {
	classes      []string // names of the request classes by index
	tables       map[int]*table
	tableByClass map[string]int  // number of the table assigned to a request class
	excluded     map[string]bool // by endpoint
}

// table is a routing table: the weights of its endpoints, and the admission levels by bit mask of request class
// indices.
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

// apply applies an operation. Key ranges cannot be represented in xDS and are ignored.
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

// assignTable resets a table and assigns it to the request classes in a bit mask.
func (r *routing) assignTable(number, classes int) {
	delete(r.tables, number)
	for i, name := range r.classes {
		if maskContains(classes, i) {
			r.tableByClass[name] = number
		}
	}
}

// setWeight sets the weight of an endpoint in a table. A weight of 0 or less removes the endpoint.
func (r *routing) setWeight(number int, endpoint string, weight float64) {
	t := r.table(number)
	if weight <= 0 {
		delete(t.weights, endpoint)
		return
	}
	t.weights[endpoint] = weight
}

// table returns the table with the given number. It creates the table if it does not exist.
func (r *routing) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = &table{weights: map[string]float64{}, admissionByMask: map[int]float64{}}
	}
	return r.tables[number]
}

// anyAssigned reports whether a table is assigned to at least one request class.
func (r *routing) anyAssigned() bool { return len(r.tableByClass) > 0 }

// admissionLevel returns the fraction of requests of a class to admit: the minimum of the levels in t and
// wire.AllTables that apply to the class, or 1 if there is none.
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

// maskContains reports whether a bit mask contains a request class index. The mask 0 contains all classes.
func maskContains(mask, class int) bool { return mask == 0 || mask&(1<<class) != 0 }
