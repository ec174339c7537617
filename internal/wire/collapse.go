package wire

// Collapse returns the least ops that amount to the same: of several on one line, level, withdrawal or binding only the
// last counts, and what a later Bind or Clear of its table begins anew is left out. Order is kept otherwise.
func Collapse(ops []Op) []Op {
	type key struct {
		kind     OpKind
		table    int
		kinds    int
		endpoint string
		number   int
	}
	seen, fresh := map[key]bool{}, map[int]bool{}
	kept := make([]Op, 0, len(ops))
	for i := len(ops) - 1; i >= 0; i-- {
		o := ops[i]
		k := key{kind: o.Kind}
		switch o.Kind {
		case OpSet:
			k.table, k.endpoint = o.Table, o.Endpoint
		case OpAdmit:
			k.table, k.kinds = o.Table, o.Kinds
		case OpWithdraw:
			k.endpoint = o.Endpoint
		case OpMark:
			k.number = o.Number
		case OpBind:
			k.table, k.kinds = o.Table, o.Kinds
		case OpClear, OpRange:
			k.table = o.Table
		}
		if seen[k] || fresh[o.Table] && (o.Kind == OpSet || o.Kind == OpAdmit && o.Table != EveryTable || o.Kind == OpClear) {
			continue
		}
		seen[k] = true
		if o.Kind == OpBind || o.Kind == OpClear || o.Kind == OpRange {
			fresh[o.Table] = true
		}
		kept = append(kept, o)
	}
	for i, j := 0, len(kept)-1; i < j; i, j = i+1, j-1 {
		kept[i], kept[j] = kept[j], kept[i]
	}
	return kept
}
