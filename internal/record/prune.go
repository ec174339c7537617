package record

import (
	"bytes"
	"errors"
	"time"

	"go.etcd.io/bbolt"
)

// storedSegment describes a stored segment for pruning.
type storedSegment struct {
	name      []byte
	bytes     int64     // total size of its chunks
	writtenAt time.Time // when its last chunk was written
}

// Prune deletes the oldest segments until the others are within the limits, and then lives without segments. It keeps
// the newest segment, which may still be written to. It returns the number of deleted segments.
func (s *Store) Prune(limits Limits, now time.Time) (dropped int, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		segments, err := listSegments(tx)
		if err != nil {
			return err
		}
		for _, segment := range segments[:excessSegments(segments, limits, now)] {
			if err := tx.Bucket(bucketSegments).DeleteBucket(segment.name); err != nil {
				return err
			}
			dropped++
		}
		return dropEmptyLives(tx)
	})
	return dropped, err
}

// listSegments returns all segments, oldest first.
func listSegments(tx *bbolt.Tx) (all []storedSegment, err error) {
	segments := tx.Bucket(bucketSegments)
	err = segments.ForEachBucket(func(name []byte) error {
		segment := storedSegment{name: bytes.Clone(name)}
		err := segments.Bucket(name).ForEach(func(_, chunk []byte) error {
			segment.bytes += int64(len(chunk))
			if at, ok := chunkTime(chunk); ok {
				segment.writtenAt = at
			}
			return nil
		})
		all = append(all, segment)
		return err
	})
	return all, err
}

// excessSegments returns how many segments to delete, starting with the oldest, to satisfy the limits of age and size.
// The newest segment is never deleted.
func excessSegments(segments []storedSegment, limits Limits, now time.Time) int {
	var total int64
	for _, segment := range segments {
		total += segment.bytes
	}
	for i, segment := range segments {
		tooOld := limits.Age > 0 && now.Sub(segment.writtenAt) > limits.Age
		tooMuch := limits.Bytes > 0 && total > limits.Bytes
		isLast := i == len(segments)-1
		if isLast || !tooOld && !tooMuch {
			return i
		}
		total -= segment.bytes
	}
	return 0 // no segments
}

// dropEmptyLives deletes lives without segments, except the newest life, which may not have written its first segment
// yet.
func dropEmptyLives(tx *bbolt.Tx) error {
	lives := tx.Bucket(bucketLives)
	last, _ := lives.Cursor().Last()
	var empty [][]byte
	err := lives.ForEach(func(id, _ []byte) error {
		if !bytes.Equal(id, last) && !hasSegment(tx, id) {
			empty = append(empty, bytes.Clone(id))
		}
		return nil
	})
	for _, id := range empty {
		err = errors.Join(err, lives.Delete(id))
	}
	return err
}

// hasSegment reports whether a life has a segment.
func hasSegment(tx *bbolt.Tx, life []byte) bool {
	prefix := segmentPrefix(string(life))
	name, _ := tx.Bucket(bucketSegments).Cursor().Seek(prefix)
	return bytes.HasPrefix(name, prefix)
}
