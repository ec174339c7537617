package routing

import (
	"slices"
	"strings"

	"indigousher/internal/wire"
)

// table is a routing table as the proxy has applied it.
type table struct {
	lines            map[string]float64 // weights above 0, by endpoint
	admission        map[int]admission  // by class mask
	roundRobinCredit map[string]float64 // by endpoint, for smooth weighted round robin
	cached           *candidates        // computed from lines and exclusions; nil after any change
}

func newTable() *table {
	return &table{lines: map[string]float64{}, admission: map[int]admission{}, roundRobinCredit: map[string]float64{}}
}

// setWeight sets the weight of an endpoint; 0 removes it.
func (t *table) setWeight(endpoint string, weight float64) {
	if weight > 0 {
		t.lines[endpoint] = weight
	} else {
		delete(t.lines, endpoint)
	}
}

// keyRange is a range of keys that use a table. It includes from and excludes to; an empty to means no upper bound.
type keyRange struct {
	from, to string
	table    int
}

// table returns the table with a number in the current stream, and creates an empty one if there is none.
func (r *Router) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = newTable()
	}
	return r.tables[number]
}

// assign makes classes use a table. The table starts empty, or with its lines from the previous stream if the operation
// has KeepLines set. A class mask of 0 selects all classes.
func (r *Router) assign(o wire.Op) {
	t := newTable()
	if old := r.previousTables[o.Table]; o.KeepLines && old != nil {
		t = old
		clear(t.admission) // the pilot sends all admission settings again
	}
	if replaced := r.tables[o.Table]; replaced != nil {
		r.replaceTable(replaced, t)
	}
	r.tables[o.Table] = t
	for class := range r.byClass {
		if o.Classes == 0 || o.Classes&(1<<class) != 0 {
			r.byClass[class] = t
			r.assigned[class] = true
		}
	}
	if !slices.Contains(r.assigned, false) {
		clear(r.previouslyExcluded)
	}
}

// replaceTable makes all classes that use one table use another.
func (r *Router) replaceTable(old, replacement *table) {
	for class := range r.byClass {
		if r.byClass[class] == old {
			r.byClass[class] = replacement
		}
	}
}

// assignRange assigns a range of keys to a new, empty table, or removes the table and its range.
func (r *Router) assignRange(o wire.Op) {
	r.ranges = slices.DeleteFunc(r.ranges, func(keys keyRange) bool { return keys.table == o.Table })
	delete(r.tables, o.Table)
	if o.Remove {
		return
	}
	r.tables[o.Table] = newTable()
	r.ranges = append(r.ranges, keyRange{o.From, o.To, o.Table})
	slices.SortFunc(r.ranges, func(a, b keyRange) int { return strings.Compare(a.from, b.from) })
}

// noSlice is returned by sliceTable for a key outside all ranges.
const noSlice = -1

// sliceTable returns the number of the table whose range contains a key, or noSlice.
func (r *Router) sliceTable(key string) int {
	if len(r.ranges) == 0 {
		return noSlice
	}
	i, found := slices.BinarySearchFunc(r.ranges, key, func(keys keyRange, key string) int {
		return strings.Compare(keys.from, key)
	})
	if !found {
		i--
	}
	if i < 0 {
		return noSlice
	}
	if to := r.ranges[i].to; to != "" && to <= key {
		return noSlice
	}
	return r.ranges[i].table
}

// tableFor returns the table for a request: that of the slice of its key, or else that of its class.
func (r *Router) tableFor(class int, key string) *table {
	if slice := r.sliceTable(key); slice != noSlice {
		return r.table(slice)
	}
	return r.byClass[class]
}
