package agent

import "sync/atomic"

// Counters of the calls, for the controller's periodic report.
type Counters struct {
	Calls, Failed atomic.Int64 // of calls, and of connections that ended by a fault
	Lists, Odd    atomic.Int64 // of lists handed over, and of entries that could not be used
}
