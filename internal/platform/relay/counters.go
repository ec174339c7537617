package relay

import "sync/atomic"

// Counters of orders, for the pilot's book-keeping.
type Counters struct {
	Made, Taken, Outdated, Dropped, Uncertain, Calls, Failed, Probes atomic.Int64
	Events, Gaps                                                     atomic.Int64
}
