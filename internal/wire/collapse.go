package wire

import "slices"

// Collapse removes operations that later ones make redundant. Of several operations that set the same weight, admission
// level, exclusion or table assignment it keeps only the last. It drops operations on a table that a later
// OpAssignTable, OpClearTable or OpAssignRange resets. The order of the remaining operations does not change.
func Collapse(ops []Op) []Op {
	seen := map[opKey]bool{}
	reset := map[int]bool{} // numbers of the tables that a later operation resets
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

// opKey identifies what an operation sets. Of several operations with equal keys only the last has an effect.
type opKey struct {
	kind     OpKind
	table    int
	classes  int
	endpoint string
	number   int
}

// collapseKey returns the key by which Collapse compares an operation with others.
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

// resetsTable reports whether the operation removes the earlier content of its table.
func (o *Op) resetsTable() bool {
	switch o.Kind {
	case OpAssignTable, OpClearTable, OpAssignRange:
		return true
	}
	return false
}

// isDroppedByReset reports whether the operation has no effect if its table is reset later. An OpSetAdmission for all
// tables stays in effect when one table is reset.
func (o *Op) isDroppedByReset() bool {
	switch o.Kind {
	case OpSetWeight, OpClearTable:
		return true
	case OpSetAdmission:
		return o.Table != AllTables
	}
	return false
}
