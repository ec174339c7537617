package handover

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// ErrLocked says that another process has the claim.
var ErrLocked = errors.New("another process of this pilot serves")

// Lock is a claim that is held: a lock on a file that the kernel frees when its holder dies.
type Lock struct{ f *os.File }

// AcquireLock takes the claim that belongs to a handover socket, if nobody has it.
func AcquireLock(socket string) (*Lock, error) {
	f, err := os.OpenFile(socket+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", socket, ErrLocked)
		}
		return nil, fmt.Errorf("claim: %w", err)
	}
	return &Lock{f}, nil
}

// Release gives the claim up. Of a claim that is not held nothing is done.
func (c *Lock) Release() {
	if c != nil {
		_ = c.f.Close()
	}
}
