package listener

import "sync/atomic"

// Counters of what came, for the controller's periodic report.
type Counters struct {
	// Connections: all that were accepted, those that identified themselves as a collector's, and how the others ended:
	// told that they are rejected, closed without having said enough, or closed to make room.
	Accepted, Collectors, Rejected, Silent, Evicted atomic.Int64

	// Lines of collectors: reports handed over, and lines that could not be used.
	Reports, Spoilt atomic.Int64
}
