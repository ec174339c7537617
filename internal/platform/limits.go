package platform

import (
	"runtime"
	"runtime/debug"

	"indigousher/internal/platform/placement"
)

// Allocation of the machine's limits.
const (
	// memoryLimitShare of the memory is the limit of the Go runtime. The rest is for memory outside of it and for
	// exceeding it between collections.
	memoryLimitShare = 0.6
	// reservedSockets is the number of descriptors reserved for everything but the listener.
	reservedSockets = 16
	// unidentifiedShare of the other descriptors is for connections that have not identified themselves.
	unidentifiedShare = 0.4
)

// SetRuntimeLimits sets the limits of the Go runtime to those of the machine.
func SetRuntimeLimits(l placement.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitShare * (1 << 20)))
}

// maxUnidentified returns how many unidentified connections the listener may have open.
func maxUnidentified(l placement.Limits) int {
	available := float64(l.Sockets - reservedSockets)
	return int(available * unidentifiedShare)
}
