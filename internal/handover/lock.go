package handover

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// lockSuffix is appended to the path of the handover socket to give the path of the lock file.
const lockSuffix = ".lock"

// Lock is the lock that a process holds while it serves. It is a file lock (flock), which the kernel releases when the
// process dies.
type Lock struct{ file *os.File }

// AcquireLock acquires the lock that belongs to a handover socket. It never blocks: if another process holds the lock,
// the error wraps ErrLocked.
func AcquireLock(socket string) (*Lock, error) {
	file, err := os.OpenFile(socket+lockSuffix, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open lock file: %w", err)
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return &Lock{file}, nil
	}
	_ = file.Close() // no data was written, so no error can matter
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, fmt.Errorf("%s: %w", socket, ErrLocked)
	}
	return nil, fmt.Errorf("lock %s: %w", socket+lockSuffix, err)
}

// Release releases the lock. It does nothing if the lock was released before or is nil.
func (l *Lock) Release() {
	if l != nil {
		_ = l.file.Close() // closing a closed file does nothing
	}
}
