package listener

import "sync/atomic"

// Counters of what came, for the pilot's book-keeping.
type Counters struct{ Accepted, Collectors, Reports, Spoilt, Rejected, Silent, Evicted atomic.Int64 }
