package record

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// OpenFile opens or makes a store's file, and tells one that is torn, by ErrTorn, from one that can't be had.
func OpenFile(path string, readOnly bool) (db *bbolt.DB, err error) {
	err = panicsAsErrors(func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType})
		return err
	})
	var refused syscall.Errno // by the system
	if err != nil && !errors.Is(err, bolterrors.ErrTimeout) && !errors.As(err, &refused) && !errors.Is(err, ErrTorn) {
		err = fmt.Errorf("%w: %w", ErrTorn, err)
	}
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	if err := panicsAsErrors(func() error { return db.View(checkPages) }); err != nil {
		return nil, errors.Join(fmt.Errorf("open %s: %w", path, err), db.Close())
	}
	return db, nil
}

// checkPages returns whether the file has all the pages that it speaks of, and each is what it should be.
func checkPages(tx *bbolt.Tx) error {
	if at, err := os.Stat(tx.DB().Path()); err != nil || at.Size() < tx.Size() {
		return errors.Join(fmt.Errorf("shorter than %d bytes: %w", tx.Size(), ErrTorn), err)
	}
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return visitBucket(b) })
}

// visitBucket goes through all buckets and keys, so that pages which make no sense show before anything depends on them.
func visitBucket(b *bbolt.Bucket) error {
	return b.ForEach(func(k, v []byte) error {
		if v == nil && b.Bucket(k) != nil {
			return visitBucket(b.Bucket(k))
		}
		return nil
	})
}

// panicsAsErrors does something with the file. The store panics on pages that make no sense, and a page that the file no longer
// has faults; both are torn records, which must not end a pilot.
func panicsAsErrors(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, ErrTorn)
		}
	}()
	return f()
}

// SetAside moves a store's file out of the way, in place of one that was moved there before, and returns where it lies.
func SetAside(dir string) (string, error) {
	from := filepath.Join(dir, fileName)
	if err := os.Rename(from, from+".torn"); err != nil {
		return "", fmt.Errorf("set records aside: %w", err)
	}
	return from + ".torn", nil
}
