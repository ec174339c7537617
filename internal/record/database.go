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

// lockTimeout is how long opening waits for the file lock of another process; long enough for one that is exiting.
const lockTimeout = time.Second

// quarantineSuffix is appended to the name of a damaged file when it is moved out of the way.
const quarantineSuffix = ".torn"

// OpenFile opens a database file; unless readOnly is set, it creates a missing one. If the file is damaged, the error
// wraps ErrCorrupt. A missing permission, a full disk or a lock held by another process gives a different error.
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

// openDatabase opens the file. Every error other than one of the operating system or a lock timeout is taken for damage
// and wraps ErrCorrupt.
func openDatabase(path string, readOnly bool) (db *bbolt.DB, err error) {
	err = recoverCorrupt(func() (err error) {
		options := bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType}
		db, err = bbolt.Open(path, 0o600, &options)
		return err
	})
	var errno syscall.Errno // an error of the operating system
	if err == nil || errors.Is(err, ErrCorrupt) || errors.Is(err, bolterrors.ErrTimeout) || errors.As(err, &errno) {
		return db, err
	}
	return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
}

// checkPages reads all buckets and keys. It returns ErrCorrupt if the file is shorter than the pages that it refers to,
// and panics or faults on an invalid page.
func checkPages(tx *bbolt.Tx) error {
	info, err := os.Stat(tx.DB().Path())
	if err != nil || info.Size() < tx.Size() {
		return errors.Join(fmt.Errorf("file is shorter than its pages, %d bytes: %w", tx.Size(), ErrCorrupt), err)
	}
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return visitBucket(b) })
}

// visitBucket reads all keys and nested buckets of a bucket, so that damage is found before the data is used.
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

// recoverCorrupt calls f and returns a panic as an error that wraps ErrCorrupt. The database panics on invalid pages,
// and reading a page beyond the end of the mapped file faults; neither may crash a controller.
func recoverCorrupt(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("database panicked: %v: %w", r, ErrCorrupt)
		}
	}()
	return f()
}

// Quarantine renames the damaged database file in dir, so that a new one can be created, and returns its new path. It
// replaces a file that was renamed earlier.
func Quarantine(dir string) (string, error) {
	from := filepath.Join(dir, fileName)
	to := from + quarantineSuffix
	if err := os.Rename(from, to); err != nil {
		return "", fmt.Errorf("quarantine records: %w", err)
	}
	return to, nil
}
