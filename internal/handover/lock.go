package handover

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// lockSuffix ends the name of the lock's file, which lies beside the handover socket.
const lockSuffix = ".lock"

// Lock is the lock that a process holds while it serves: one on a file, which the kernel releases when the process
// dies.
type Lock struct{ file *os.File }

// AcquireLock takes the lock that belongs to a handover socket. It never waits: if another process holds it, the error
// is ErrLocked.
func AcquireLock(socket string) (*Lock, error) {
	file, err := os.OpenFile(socket+lockSuffix, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &Lock{file}, nil
	}
	_ = file.Close() // nothing was written
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%s: %w", socket, ErrLocked)
	}
	return nil, fmt.Errorf("claim: %w", err)
}

// Release releases the lock. Of one that is not held, or nil, nothing is done.
func (l *Lock) Release() {
	if l != nil {
		_ = l.file.Close() // closes it once; again does nothing
	}
}
