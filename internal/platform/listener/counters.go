package listener

import "sync/atomic"

// Counters of connections and lines, for the platform's periodic report.
type Counters struct {
	// Connections: all accepted ones, those identified as a collector's, and the others by their end: rejected,
	// closed before they sent a whole line, or evicted to make room.
	Accepted, Collectors, Rejected, Silent, Evicted atomic.Int64

	// Lines of collectors: reports posted, and malformed lines.
	Reports, Malformed atomic.Int64
}
