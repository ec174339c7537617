// Package handover passes a controller's listeners from a running process to a new one over a Unix socket. The old
// process stops its controller before the new one starts its own. Who may serve follows from a lock that only one
// process can hold (lock.go), so never do two write to one proxy, whatever message is lost: the old process goes on by
// itself if the new one does not say that it serves and the lock is free. What each side does next is decided by the
// state machines recovery.Predecessor and recovery.Successor; this package does it, on the side that hands off
// (handoff.go) and on the side that takes over (takeover.go). The controller's state passes through the record, which
// the old process closes first.
package handover
