package relay

import "slices"

// merge drops from a sequence each command that a later one supersedes, and leaves the rest in order: one with the same
// key, or one that clears its table. The ack requests of those dropped count as answered with the one that is kept.
func merge(commands []command) []command {
	seenKeys := map[string]bool{}
	clearedTables := map[string]bool{}
	kept := make([]command, 0, len(commands))
	var supersededAcks []int
	for i := len(commands) - 1; i >= 0; i-- { // the newest first
		c := commands[i]
		if seenKeys[c.key] || c.table != "" && clearedTables[c.table] {
			supersededAcks = append(supersededAcks, c.acks...)
			continue
		}
		seenKeys[c.key] = true
		if c.clearsTable {
			clearedTables[c.table] = true
		}
		kept = append(kept, c)
	}
	slices.Reverse(kept)
	for i := range kept {
		if len(kept[i].acks) > 0 {
			kept[i].acks = append(slices.Clone(kept[i].acks), supersededAcks...)
		}
	}
	return kept
}

// splitCalls cuts a sequence into calls of no more than maxCallBytes.
func splitCalls(commands []command) (calls []call) {
	start := 0
	size := 0 // bytes of the call that begins at start
	for i, c := range commands {
		commandBytes := len(c.encoded) + 1 // with its comma
		size += commandBytes
		if size > maxCallBytes {
			calls = append(calls, commands[start:i:i])
			start = i
			size = commandBytes
		}
	}
	if start < len(commands) {
		calls = append(calls, commands[start:])
	}
	return calls
}
