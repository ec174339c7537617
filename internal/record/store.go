package record

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"
)

const fileName = "records.db"

// Store is the file. It is opened by one process at a time.
type Store struct {
	db           *bbolt.DB
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
}

// Open opens or makes the store in a folder. A second process that opens it fails. A file that is torn is told by ErrTorn.
func Open(dir string, readOnly bool) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := OpenFile(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	s := &Store{db: db}
	if s.compressor, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)); err == nil {
		s.decompressor, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
	}
	if err == nil && !readOnly {
		err = s.update(func(tx *bbolt.Tx) error {
			for _, b := range [][]byte{bucketLives, bucketSegments} {
				if _, err := tx.CreateBucketIfNotExists(b); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open records %s: %w", path, err), db.Close())
	}
	return s, nil
}

// Close closes the file.
func (s *Store) Close() error {
	s.decompressor.Close()
	return errors.Join(s.compressor.Close(), s.db.Close())
}

func (s *Store) view(f func(*bbolt.Tx) error) error {
	return panicsAsErrors(func() error { return s.db.View(f) })
}

func (s *Store) update(f func(*bbolt.Tx) error) error {
	return panicsAsErrors(func() error { return s.db.Update(f) })
}
