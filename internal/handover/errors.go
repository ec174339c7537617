package handover

import "errors"

// Errors of a handover, to be matched with errors.Is.
var (
	// ErrBusy means that the running process is already handing over to another process.
	ErrBusy = errors.New("another handover is in progress")
	// ErrConnection means that the connection failed or that a message on it was invalid.
	ErrConnection = errors.New("handover connection failed or sent an invalid message")
	// ErrLocked means that another process holds the lock.
	ErrLocked = errors.New("another process of this pilot holds the lock")
)
