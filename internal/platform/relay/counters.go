package relay

import "sync/atomic"

// Counters of what crossed to the relay and came from it, for the controller's periodic report. A Sender and an
// EventStream share one.
type Counters struct {
	// Commands: Enqueued is the sum of Executed, Superseded and Dropped, once nothing waits. OutcomeUnknown counts
	// those of calls that were repeated because nobody knows whether they were executed.
	Enqueued, Executed, Superseded, Dropped, OutcomeUnknown atomic.Int64

	// Calls with commands, those of them that failed, and empty calls.
	Calls, FailedCalls, Probes atomic.Int64

	// Events about proxies, from either subscription, and gaps in which neither stood.
	Events, Gaps atomic.Int64
}
