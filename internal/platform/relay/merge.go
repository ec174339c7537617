package relay

import "slices"

// merge returns commands without the superseded ones, in the same order. A command is superseded by a later command
// that has the same key or clears its table. The numbers of superseded ack requests are added to the ack request that
// is kept, because an ack of that one covers them too.
func merge(commands []command) []command {
	seenKeys := map[string]bool{}
	clearedTables := map[string]bool{}
	kept := make([]command, 0, len(commands))
	var supersededAcks []int
	for i := len(commands) - 1; i >= 0; i-- { // newest first
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

// splitCalls splits commands into calls of at most maxCallBytes, in the same order.
func splitCalls(commands []command) (calls []call) {
	start := 0
	size := 0 // bytes of the call that begins at start
	for i, c := range commands {
		commandBytes := len(c.encoded) + 1 // plus a comma
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
