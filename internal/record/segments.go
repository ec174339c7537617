package record

import (
	"bytes"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// segmentName returns the name of a life's segment. Names sort by life, then by number.
func segmentName(life string, number int) []byte {
	return fmt.Appendf(nil, "%s/%08d", life, number)
}

// segmentPrefix returns the prefix of the names of a life's segments.
func segmentPrefix(life string) []byte {
	return []byte(life + "/")
}

// forEachSegment calls f with each segment of a life, in order.
func forEachSegment(tx *bbolt.Tx, life string, f func(segment *bbolt.Bucket) error) error {
	segments := tx.Bucket(bucketSegments)
	prefix := segmentPrefix(life)
	c := segments.Cursor()
	for name, v := c.Seek(prefix); v == nil && bytes.HasPrefix(name, prefix); name, v = c.Next() {
		if err := f(segments.Bucket(name)); err != nil {
			return err
		}
	}
	return nil
}

// Read calls f with the turns of each chunk of a life, in order. Where turns were lost, it calls f without turns and
// with gap set. It stops at a damaged chunk, with an error that wraps ErrCorrupt, and at the first error that f
// returns.
func (s *Store) Read(life string, f func(turns []Turn, gap bool) error) error {
	return s.view(func(tx *bbolt.Tx) error {
		return forEachSegment(tx, life, func(segment *bbolt.Bucket) error {
			return segment.ForEach(func(_, chunk []byte) error {
				turns, err := s.decodeChunk(chunk)
				if err != nil {
					return err
				}
				isGap := len(turns) == 0
				return f(turns, isGap)
			})
		})
	})
}

// Size returns the total size in bytes and the number of a life's chunks.
func (s *Store) Size(life string) (size int64, chunks int) {
	_ = s.view(func(tx *bbolt.Tx) error { // Read reports damage
		return forEachSegment(tx, life, func(segment *bbolt.Bucket) error {
			return segment.ForEach(func(_, chunk []byte) error {
				size += int64(len(chunk))
				chunks++
				return nil
			})
		})
	})
	return size, chunks
}

// LastWritten returns when the last chunk of a life was written, by the system clock, or the zero time if it has no
// chunks.
func (s *Store) LastWritten(life string) (at time.Time) {
	_ = s.view(func(tx *bbolt.Tx) error { // Read reports damage
		return forEachSegment(tx, life, func(segment *bbolt.Bucket) error {
			_, chunk := segment.Cursor().Last()
			if written, ok := chunkTime(chunk); ok {
				at = written
			}
			return nil
		})
	})
	return at
}
