package routing

import (
	"slices"
	"strings"

	"indigousher/internal/wire"
)

// table is a routing table as the proxy has applied it.
type table struct {
	lines            map[string]float64 // weights above 0, by endpoint
	admission        map[int]admission  // by mask of classes
	roundRobinCredit map[string]float64 // by endpoint, for smooth weighted round robin
	cached           *candidates        // made of the lines; nil after any change
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

// keyRange is the keys from one up to, but without, another that use a table. An empty to is no bound.
type keyRange struct {
	from, to string
	table    int
}

// table returns a table by its number in this stream, an empty one if it is new.
func (r *Router) table(number int) *table {
	if r.tables[number] == nil {
		r.tables[number] = newTable()
	}
	return r.tables[number]
}

// assign puts classes on a table that starts empty, or, where the pilot has it kept, with the lines that the stream
// before left in it. A class mask of 0 stands for all classes.
func (r *Router) assign(o wire.Op) {
	t := newTable()
	if old := r.previousTables[o.Table]; o.KeepLines && old != nil {
		t = old
		clear(t.admission) // the pilot sends all of it again
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

// replaceTable moves all classes of one table to another.
func (r *Router) replaceTable(old, replacement *table) {
	for class := range r.byClass {
		if r.byClass[class] == old {
			r.byClass[class] = replacement
		}
	}
}

// assignRange gives a range of keys to a table, which starts empty, or takes its range from it.
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

// noSlice is what sliceTable returns for a key that falls into no range.
const noSlice = -1

// sliceTable returns the number of the table whose range holds a key, or noSlice.
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

// tableFor returns the table that a request uses.
func (r *Router) tableFor(class int, key string) *table {
	if slice := r.sliceTable(key); slice != noSlice {
		return r.table(slice)
	}
	return r.byClass[class]
}
