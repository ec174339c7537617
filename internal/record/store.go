package record

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"
)

// fileName is the store's file in its folder.
const fileName = "records.db"

// The layout: bucket "lives" holds a Life as JSON by its ID; bucket "segments" holds a bucket for each segment, named
// LIFE/NUMBER, of chunks (see chunk.go) by number.
var (
	bucketLives    = []byte("lives")
	bucketSegments = []byte("segments")
)

// maxChunkBytes bounds what a chunk may unpack to, so that a damaged one can't take all memory.
const maxChunkBytes = 256 << 20

// Store is a file of records, opened by one process at a time.
type Store struct {
	db           *bbolt.DB
	compressor   *zstd.Encoder
	decompressor *zstd.Decoder
}

// Open opens the store in a folder, or makes it there. It fails if another process has it open, and with ErrCorrupt if
// its file is damaged.
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

// openCompression makes the compressor, which favours speed, and its counterpart. Neither starts goroutines.
func (s *Store) openCompression() (err error) {
	s.compressor, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return err
	}
	s.decompressor, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChunkBytes))
	return err
}

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

// view runs a transaction that only reads; damage that shows gives ErrCorrupt.
func (s *Store) view(f func(*bbolt.Tx) error) error {
	return recoverCorrupt(func() error { return s.db.View(f) })
}

// update runs a transaction that may write; damage that shows gives ErrCorrupt.
func (s *Store) update(f func(*bbolt.Tx) error) error {
	return recoverCorrupt(func() error { return s.db.Update(f) })
}
