package relay

import "slices"

// merge drops from a sequence what something later in it has outdated, and leaves the rest in order.
func merge(commands []command) []command {
	seenKeys, clearedTables := map[string]bool{}, map[string]bool{}
	kept, supersededAcks := make([]command, 0, len(commands)), []int(nil)
	for i := len(commands) - 1; i >= 0; i-- {
		o := commands[i]
		if seenKeys[o.key] || o.table != "" && clearedTables[o.table] {
			supersededAcks = append(supersededAcks, o.acks...)
			continue
		}
		seenKeys[o.key] = true
		if o.clearsTable {
			clearedTables[o.table] = true
		}
		kept = append(kept, o)
	}
	slices.Reverse(kept)
	for i := range kept {
		if len(kept[i].acks) > 0 {
			kept[i].acks = append(slices.Clone(kept[i].acks), supersededAcks...)
		}
	}
	return kept
}

// splitCalls cuts orders into calls of bounded size.
func splitCalls(commands []command) (calls [][]command) {
	from, size := 0, 0
	for i, o := range commands {
		if size += len(o.encoded) + 1; size > maxCallBytes {
			calls = append(calls, commands[from:i:i])
			from, size = i, len(o.encoded)+1
		}
	}
	if from < len(commands) {
		calls = append(calls, commands[from:])
	}
	return calls
}
