package wire

import "slices"

// Collapse returns the fewest operations with the same effect. Of several on one line, level, exclusion or table only
// the last is kept, and operations on a table that a later OpBind, OpClear or OpRange resets are dropped. The order is
// otherwise kept.
func Collapse(ops []Op) []Op {
	seen := map[opKey]bool{}
	reset := map[int]bool{} // tables that a later operation resets
	kept := make([]Op, 0, len(ops))
	for _, op := range slices.Backward(ops) {
		key := collapseKey(&op)
		if seen[key] || reset[op.Table] && op.isDroppedByReset() {
			continue
		}
		seen[key] = true
		if op.resetsTable() {
			reset[op.Table] = true
		}
		kept = append(kept, op)
	}
	slices.Reverse(kept)
	return kept
}

// opKey identifies what an operation sets: of several with the same key only the last has an effect.
type opKey struct {
	kind     OpKind
	table    int
	classes  int
	endpoint string
	number   int
}

// collapseKey returns the key of an operation.
func collapseKey(o *Op) opKey {
	key := opKey{kind: o.Kind}
	switch o.Kind {
	case OpSetWeight:
		key.table = o.Table
		key.endpoint = o.Endpoint
	case OpSetAdmission, OpAssignTable:
		key.table = o.Table
		key.classes = o.Classes
	case OpSetExcluded:
		key.endpoint = o.Endpoint
	case OpAckRequest:
		key.number = o.AckNumber
	case OpClearTable, OpAssignRange:
		key.table = o.Table
	}
	return key
}

// resetsTable reports whether the operation drops what its table held before.
func (o *Op) resetsTable() bool {
	switch o.Kind {
	case OpAssignTable, OpClearTable, OpAssignRange:
		return true
	}
	return false
}

// isDroppedByReset reports whether the operation has no effect if its table is reset later. An OpAdmit for all tables
// outlives the reset of one.
func (o *Op) isDroppedByReset() bool {
	switch o.Kind {
	case OpSetWeight, OpClearTable:
		return true
	case OpSetAdmission:
		return o.Table != AllTables
	}
	return false
}
