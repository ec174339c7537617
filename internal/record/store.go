package record

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"
)

// fileName is the name of the database file in the store's folder.
const fileName = "records.db"

// The buckets of the database: "lives" holds each Life as JSON, by its ID. "segments" holds one bucket per segment,
// named LIFE/NUMBER, which holds the segment's chunks (see chunk.go) by number.
var (
	bucketLives    = []byte("lives")
	bucketSegments = []byte("segments")
)

// maxChunkBytes limits the decompressed size of a chunk, so that a damaged chunk can't use up all memory.
const maxChunkBytes = 256 << 20

// Store is a database file of records. While a process has it open for writing, no other process can open it.
type Store struct {
	db           *bbolt.DB
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
}

// Open opens the store in an existing folder; unless readOnly is set, it creates a missing database file. It fails if
// another process has the store open for writing, and with an error that wraps ErrCorrupt if the file is damaged.
func Open(dir string, readOnly bool) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := OpenFile(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	s := &Store{db: db}
	err = s.openCompression()
	if err == nil && !readOnly {
		err = s.update(createBuckets)
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open records %s: %w", path, err), db.Close())
	}
	return s, nil
}

// openCompression creates the compressor, at its fastest level, and the decompressor. Neither starts goroutines.
func (s *Store) openCompression() (err error) {
	s.compressor, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return err
	}
	s.decompressor, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunkBytes))
	return err
}

// createBuckets creates the buckets that don't exist yet.
func createBuckets(tx *bbolt.Tx) error {
	for _, name := range [][]byte{bucketLives, bucketSegments} {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// Close closes the file.
func (s *Store) Close() error {
	s.decompressor.Close()
	return errors.Join(s.compressor.Close(), s.db.Close())
}

// view runs a read-only transaction. If it meets damage, the error wraps ErrCorrupt.
func (s *Store) view(f func(*bbolt.Tx) error) error {
	return recoverCorrupt(func() error { return s.db.View(f) })
}

// update runs a read-write transaction. If it meets damage, the error wraps ErrCorrupt.
func (s *Store) update(f func(*bbolt.Tx) error) error {
	return recoverCorrupt(func() error { return s.db.Update(f) })
}
