package handover

import (
	"errors"
	"fmt"
	"os"
	"syscall"
)

// Claimed is a claim that is held: a lock on a file that the kernel frees when its holder dies.
type Claimed struct{ file *os.File }

// GetClaim takes the claim that belongs to a handover socket, if nobody has it.
func GetClaim(socket string) (*Claimed, error) {
	f, err := os.OpenFile(socket+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("claim: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", socket, ErrHeld)
		}
		return nil, fmt.Errorf("claim: %w", err)
	}
	return &Claimed{f}, nil
}

// LetGo gives the claim up. Of a claim that is not held nothing is done.
func (c *Claimed) LetGo() {
	if c != nil {
		_ = c.file.Close()
	}
}
