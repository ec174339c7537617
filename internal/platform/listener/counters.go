package listener

import "sync/atomic"

// Counters counts a listener's connections and report lines. The platform logs them periodically.
type Counters struct {
	// Connections: all accepted ones, those that identified themselves as a collector's, rejected ones, those that
	// closed or timed out without identifying themselves, and those evicted to make room for newer ones.
	Accepted, Collectors, Rejected, Silent, Evicted atomic.Int64

	// Lines received from collectors: reports posted to the controller, and malformed lines skipped.
	Reports, Malformed atomic.Int64
}
