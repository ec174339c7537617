package platform

import (
	"runtime"
	"runtime/debug"

	"indigousher/internal/platform/config"
)

// Shares of the machine's limits.
const (
	// memoryLimitShare of the memory is what the runtime aims to stay under; the rest is for stacks, buffers of the
	// kernel and the time that a collection takes.
	memoryLimitShare = 0.6
	// reservedSockets are descriptors for all that is not the listener.
	reservedSockets = 16
	// unidentifiedShare of the other descriptors is for connections that have not identified themselves.
	unidentifiedShare = 0.4
)

// Limit sets the runtime to what the machine gives.
func Limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitShare * (1 << 20)))
}

// maxUnidentified returns how many unidentified connections the listener may hold.
func maxUnidentified(l config.Limits) int {
	available := float64(l.Sockets - reservedSockets)
	return int(available * unidentifiedShare)
}
