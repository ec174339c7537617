package platform

import (
	"runtime"
	"runtime/debug"

	"indigousher/internal/platform/placement"
)

// How the resource limits in the placement are divided.
const (
	// memoryLimitShare is the fraction of the machine's memory that is set as the Go runtime's memory limit. The rest
	// covers memory outside the Go heap and heap growth above the soft limit between garbage collections.
	memoryLimitShare = 0.6
	// reservedSockets is the number of file descriptors reserved for everything except the listener's connections.
	reservedSockets = 16
	// unidentifiedShare is the fraction of the remaining file descriptors that connections may use before they have
	// identified themselves as a collector's.
	unidentifiedShare = 0.4
)

// SetRuntimeLimits sets GOMAXPROCS and the Go runtime's memory limit according to the limits in the placement.
func SetRuntimeLimits(l placement.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitShare * (1 << 20)))
}

// maxUnidentified returns the maximum number of open connections that have not identified themselves yet.
func maxUnidentified(l placement.Limits) int {
	available := float64(l.Sockets - reservedSockets)
	return int(available * unidentifiedShare)
}
