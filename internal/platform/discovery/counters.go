package discovery

import "sync/atomic"

// Counters counts a client's requests and lists. The platform logs them periodically.
type Counters struct {
	Calls, Failed    atomic.Int64 // requests sent, and connections that could not be opened or ended with an error
	Lists, Malformed atomic.Int64 // lists posted to the controller, and malformed entries skipped in received lists
}
