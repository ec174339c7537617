package discovery

import "sync/atomic"

// Counters of the watch, for the platform's periodic report.
type Counters struct {
	Calls, Failed    atomic.Int64 // calls, and connections that ended with an error
	Lists, Malformed atomic.Int64 // lists posted, and malformed entries
}
