// Package handover passes a controller's listeners from a running process, the predecessor, to a new one, the
// successor, over a Unix socket. The predecessor stops its controller before the successor starts its own. A process
// may only serve while it holds a lock (lock.go), so two processes never write to the same proxy, whichever message is
// lost. If the successor does not confirm that it serves and the lock is free, the predecessor resumes.
//
// The state machines recovery.Predecessor and recovery.Successor decide the next step of each side. This package
// executes the steps of the predecessor in handoff.go and those of the successor in takeover.go. The controller's state
// is passed on in the record, which the predecessor closes before it releases the lock.
package handover
