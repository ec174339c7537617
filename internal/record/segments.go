package record

import (
	"bytes"
	"fmt"
	"time"

	"go.etcd.io/bbolt"
)

// segmentName names a life's segment so that names sort by life, then by number.
func segmentName(life string, number int) []byte {
	return fmt.Appendf(nil, "%s/%08d", life, number)
}

// segmentPrefix begins the names of a life's segments.
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

// Read calls f with each chunk's turns of a life, in order. A damaged chunk ends it with ErrCorrupt; gap tells that
// turns are missing before what follows, and comes without turns.
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

// Size returns what a life's segments take: the bytes and the number of their chunks.
func (s *Store) Size(life string) (size int64, chunks int) {
	_ = s.view(func(tx *bbolt.Tx) error { // damage shows when the life is read
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

// LastAt returns when the last chunk of a life was written, by the machine's clock; zero if there is none.
func (s *Store) LastAt(life string) (at time.Time) {
	_ = s.view(func(tx *bbolt.Tx) error { // damage shows when the life is read
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
