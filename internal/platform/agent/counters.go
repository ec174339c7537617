package agent

import "sync/atomic"

// Counters of the calls, for the pilot's book-keeping.
type Counters struct{ Calls, Failed, Lists, Odd atomic.Int64 }
