package relay

import "slices"

// fresh drops from a sequence what something later in it has outdated, and leaves the rest in order.
func fresh(ops []op) []op {
	seen, cleared := map[string]bool{}, map[string]bool{}
	kept, marks := make([]op, 0, len(ops)), []int(nil)
	for i := len(ops) - 1; i >= 0; i-- {
		o := ops[i]
		if seen[o.key] || o.table != "" && cleared[o.table] {
			marks = append(marks, o.marks...)
			continue
		}
		seen[o.key] = true
		if o.clear {
			cleared[o.table] = true
		}
		kept = append(kept, o)
	}
	slices.Reverse(kept)
	for i := range kept {
		if len(kept[i].marks) > 0 {
			kept[i].marks = append(slices.Clone(kept[i].marks), marks...)
		}
	}
	return kept
}

// split cuts orders into calls of bounded size.
func split(ops []op) (calls [][]op) {
	from, size := 0, 0
	for i, o := range ops {
		if size += len(o.text) + 1; size > mostCall {
			calls = append(calls, ops[from:i:i])
			from, size = i, len(o.text)+1
		}
	}
	if from < len(ops) {
		calls = append(calls, ops[from:])
	}
	return calls
}
