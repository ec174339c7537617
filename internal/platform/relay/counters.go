package relay

import "sync/atomic"

// Counters counts the traffic with the relay. A Sender and an EventStream share one. The platform logs the counters
// periodically.
type Counters struct {
	// Numbers of commands. When the queue is empty and no call is in flight, Enqueued equals Executed + Superseded +
	// Dropped. OutcomeUnknown counts the commands of calls that were retried although the relay may have executed them.
	Enqueued, Executed, Superseded, Dropped, OutcomeUnknown atomic.Int64

	// Calls with commands, the failed ones among them, and empty calls, which test whether the relay responds.
	Calls, FailedCalls, Probes atomic.Int64

	// Events about proxies, counted on each subscription, and gaps in which no subscription received events. LateGaps
	// counts the gaps that were detected only after the next subscription had opened.
	Events, Gaps, LateGaps atomic.Int64
}
