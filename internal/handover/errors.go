package handover

import "errors"

// Errors of a handover, checked with errors.Is.
var (
	// ErrBusy says that the running process is handing over to another one.
	ErrBusy = errors.New("another handover is under way")
	// ErrBroken says that the connection or a message on it was not as it should be.
	ErrBroken = errors.New("the handover broke")
	// ErrLocked says that another process holds the lock.
	ErrLocked = errors.New("another process of this pilot serves")
)
