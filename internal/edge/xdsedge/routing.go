package xdsedge

import (
	"math"
	"slices"
	"time"

	"indigousher/internal/wire"
)

type table struct {
	weights map[string]float64
	levels  map[int]float64
}

func (st *stream) table(number int) *table {
	if st.tables[number] == nil {
		st.tables[number] = &table{weights: map[string]float64{}, levels: map[int]float64{}}
	}
	return st.tables[number]
}

func (st *stream) apply(o wire.Op) {
	switch o.Kind {
	case wire.OpBind:
		st.tables[o.Table] = nil
		st.table(o.Table)
		for k, name := range st.classes {
			if o.Kinds == 0 || o.Kinds&(1<<k) != 0 {
				st.bound[name] = o.Table
			}
		}
	case wire.OpSet:
		if st.table(o.Table).weights[o.Endpoint] = o.Weight; o.Weight <= 0 {
			delete(st.table(o.Table).weights, o.Endpoint)
		}
	case wire.OpClear:
		st.tables[o.Table] = nil
	case wire.OpWithdraw:
		if st.excluded[o.Endpoint] = o.Out; !o.Out {
			delete(st.excluded, o.Endpoint)
		}
	case wire.OpAdmit:
		st.table(o.Table).levels[o.Kinds] = o.Weight
	case wire.OpMark:
		st.marks = append(st.marks, mark{o.Number, st.version + 1, time.Now()})
		st.marks = st.marks[max(0, len(st.marks)-maxMarks):]
	}
}

func (st *stream) level(t *table, kind string) float64 {
	level := 1.0
	k := slices.Index(st.classes, kind)
	for _, levels := range []map[int]float64{t.levels, st.table(wire.EveryTable).levels} {
		for mask, v := range levels {
			if mask == 0 || mask&(1<<k) != 0 {
				level = math.Min(level, v)
			}
		}
	}
	return level
}
