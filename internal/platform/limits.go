package platform

import (
	"runtime"
	"runtime/debug"

	"indigousher/internal/platform/config"
)

// Limit sets the runtime to what the machine gives.
func Limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(l.Cores)))
	debug.SetMemoryLimit(int64(l.MemoryMB * memoryLimitShare * (1 << 20)))
}
