package handover

import (
	"errors"
)

// Errors of a handover.
var (
	ErrBusy   = errors.New("another handover is under way")
	ErrBroken = errors.New("the handover broke")
)

// ErrHeld says that another process has the claim.
var ErrHeld = errors.New("another process of this pilot serves")
