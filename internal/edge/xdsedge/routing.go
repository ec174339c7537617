package xdsedge

import (
	"math"
	"slices"

	"indigousher/internal/wire"
)

// routing is what a proxy is to do, as ordered so far: its tables, which of them serves each request class, and which
// endpoints are excluded from all of them.
type routing struct {
	classes  []string // by index
	tables   map[int]*table
	bound    map[string]int // number of the table that serves a class
	excluded map[string]bool
}

// table holds the weights of endpoints, and the levels of admission by mask of classes.
type table struct {
	weights map[string]float64
	levels  map[int]float64
}

func newRouting(classes []string) routing {
	return routing{
		classes:  classes,
		tables:   map[int]*table{},
		bound:    map[string]int{},
		excluded: map[string]bool{},
	}
}

// apply takes one op in. Ranges of keys have no place in xDS and are left out.
func (r *routing) apply(op *wire.Op) {
	switch op.Kind {
	case wire.OpBind:
		r.bind(op.Table, op.Kinds)
	case wire.OpSet:
		r.setWeight(op.Table, op.Endpoint, op.Weight)
	case wire.OpClear:
		delete(r.tables, op.Table)
	case wire.OpWithdraw:
		if op.Out {
			r.excluded[op.Endpoint] = true
		} else {
			delete(r.excluded, op.Endpoint)
		}
	case wire.OpAdmit:
		r.table(op.Table).levels[op.Kinds] = op.Weight
	}
}

// bind has an empty table serve the classes of a mask.
func (r *routing) bind(number, classes int) {
	delete(r.tables, number)
	for i, name := range r.classes {
		if inMask(classes, i) {
			r.bound[name] = number
		}
	}
}

// setWeight sets or, with 0, removes a line of a table.
func (r *routing) setWeight(number int, endpoint string, weight float64) {
	t := r.table(number)
	if weight <= 0 {
		delete(t.weights, endpoint)
		return
	}
	t.weights[endpoint] = weight
}

// table returns a table, which is made when it is first asked for.
func (r *routing) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = &table{weights: map[string]float64{}, levels: map[int]float64{}}
	}
	return r.tables[number]
}

// anyBound reports whether any class has a table.
func (r *routing) anyBound() bool { return len(r.bound) > 0 }

// level returns which part of a class's requests is admitted: the least of what its table and all tables say.
func (r *routing) level(t *table, class string) float64 {
	level := 1.0
	i := slices.Index(r.classes, class)
	for _, levels := range []map[int]float64{t.levels, r.table(wire.EveryTable).levels} {
		for mask, v := range levels {
			if inMask(mask, i) {
				level = math.Min(level, v)
			}
		}
	}
	return level
}

// inMask reports whether a mask of classes has the class of an index; 0 has all.
func inMask(mask, class int) bool { return mask == 0 || mask&(1<<class) != 0 }
