package record

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// lockTimeout is how long an open waits for a process that has the file; long enough for one that is just ending.
const lockTimeout = time.Second

// tornSuffix ends the name of a damaged file that was set aside.
const quarantineSuffix = ".torn"

// OpenFile opens or makes a store's file. A damaged one gives ErrCorrupt; one that can't be had, for want of
// permission, space or its lock, another error.
func OpenFile(path string, readOnly bool) (*bbolt.DB, error) {
	db, err := openDatabase(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	if err := recoverCorrupt(func() error { return db.View(checkPages) }); err != nil {
		return nil, errors.Join(fmt.Errorf("open %s: %w", path, err), db.Close())
	}
	return db, nil
}

// openDatabase opens the file and gives ErrCorrupt for each error that neither the system nor the lock explains.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	err = recoverCorrupt(func() (err error) {
		options := bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType}
		db, err = bbolt.Open(path, 0o600, &options)
		return err
	})
	var errno syscall.Errno // by the system
	if err == nil || errors.Is(err, ErrCorrupt) || errors.Is(err, bolterrors.ErrTimeout) || errors.As(err, &errno) {
		return db, err
	}
	return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// checkPages returns ErrCorrupt if the file lacks pages that it speaks of, and panics or faults on a page that makes no
// sense.
func checkPages(tx *bbolt.Tx) error {
	info, err := os.Stat(tx.DB().Path())
	if err != nil || info.Size() < tx.Size() {
		return errors.Join(fmt.Errorf("shorter than %d bytes: %w", tx.Size(), ErrCorrupt), err)
	}
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return visitBucket(b) })
}

// visitBucket goes through all buckets and keys below one, so that damage shows before anything depends on them.
func visitBucket(b *bbolt.Bucket) error {
	return b.ForEach(func(k, v []byte) error {
		if v != nil {
			return nil
		}
		if nested := b.Bucket(k); nested != nil {
			return visitBucket(nested)
		}
		return nil
	})
}

// panicsAsErrors calls f and returns a panic as ErrCorrupt. The database panics on pages that make no sense, and a page
// that the file no longer has faults; neither must end a controller.
func recoverCorrupt(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, ErrCorrupt)
		}
	}()
	return f()
}

// Quarantine moves a damaged file out of the way, in place of one that was moved there before, and returns its new
// path.
func Quarantine(dir string) (string, error) {
	from := filepath.Join(dir, fileName)
	to := from + quarantineSuffix
	if err := os.Rename(from, to); err != nil {
		return "", fmt.Errorf("set records aside: %w", err)
	}
	return to, nil
}
