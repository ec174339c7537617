package relay

import "sync/atomic"

// Counters of orders, for the pilot's book-keeping.
type Counters struct {
	Enqueued, Executed, Superseded, Dropped, OutcomeUnknown, Calls, FailedCalls, Probes atomic.Int64
	Events, Gaps                                                                        atomic.Int64
}
