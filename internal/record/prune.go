package record

import (
	"bytes"
	"errors"
	"time"

	"go.etcd.io/bbolt"
)

// storedSegment is a segment as pruning sees it.
type storedSegment struct {
	name  []byte
	bytes int64
	at    time.Time // of its last chunk
}

// Prune drops the oldest segments until the rest keeps the bounds, and lives of which nothing is left. The last
// segment, which may be being written, stays. It returns how many were dropped.
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
				segment.at = at
			}
			return nil
		})
		all = append(all, segment)
		return err
	})
	return all, err
}

// excess returns how many segments, from the oldest on, are too old or too much. The last one never is.
func excessSegments(segments []storedSegment, limits Limits, now time.Time) int {
	var total int64
	for _, segment := range segments {
		total += segment.bytes
	}
	for i, segment := range segments {
		tooOld := limits.Age > 0 && now.Sub(segment.at) > limits.Age
		tooMuch := limits.Bytes > 0 && total > limits.Bytes
		isLast := i == len(segments)-1
		if isLast || !tooOld && !tooMuch {
			return i
		}
		total -= segment.bytes
	}
	return 0 // there are none
}

// dropEmptyLives forgets lives without segments, but for the last, which may be about to write its first.
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

// hasSegment returns whether a life has a segment.
func hasSegment(tx *bbolt.Tx, life []byte) bool {
	prefix := segmentPrefix(string(life))
	name, _ := tx.Bucket(bucketSegments).Cursor().Seek(prefix)
	return bytes.HasPrefix(name, prefix)
}
