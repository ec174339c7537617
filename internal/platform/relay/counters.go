package relay

import "sync/atomic"

// Counters of the traffic with the relay, for the platform's periodic report. A Sender and an EventStream share one.
type Counters struct {
	// Commands. Once the queue is empty, Enqueued equals Executed + Superseded + Dropped. OutcomeUnknown counts the
	// commands of calls that were retried without knowing whether they had been executed.
	Enqueued, Executed, Superseded, Dropped, OutcomeUnknown atomic.Int64

	// Calls with commands, how many of them failed, and empty calls.
	Calls, FailedCalls, Probes atomic.Int64

	// Events about proxies, on either subscription, and gaps in which neither was connected.
	Events, Gaps atomic.Int64
}
