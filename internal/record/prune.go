package record

import (
	"encoding/binary"
	"errors"
	"time"

	"go.etcd.io/bbolt"
)

// Bounds are what a store may take.
type Bounds struct {
	Bytes   int64         // of all records; the oldest segments go first
	Age     time.Duration // likewise
	Segment int           // bytes of a segment
	Every   time.Duration // group commit
}

// DefaultBounds are 1 GiB, a week, 8 MiB a segment, a commit each 200 ms.
func DefaultBounds() Bounds {
	return Bounds{Bytes: 1 << 30, Age: 7 * 24 * time.Hour, Segment: 8 << 20, Every: 200 * time.Millisecond}
}

// Prune drops the oldest segments until all fit the bounds, and lives of which nothing is left.
func (s *Store) Prune(b Bounds, now time.Time) (dropped int, err error) {
	err = s.update(func(tx *bbolt.Tx) error {
		segments := tx.Bucket(bucketSegments)
		type segment struct {
			name []byte
			size int64
			at   time.Time
		}
		var all []segment
		var sum int64
		err := segments.ForEachBucket(func(k []byte) error {
			g := segment{name: append([]byte(nil), k...)}
			err := segments.Bucket(k).ForEach(func(_, v []byte) error {
				g.size += int64(len(v))
				if len(v) >= chunkHeaderBytes {
					g.at = time.UnixMilli(int64(binary.LittleEndian.Uint64(v[4:])))
				}
				return nil
			})
			all, sum = append(all, g), sum+g.size
			return err
		})
		if err != nil {
			return err
		}
		for i, g := range all {
			old := b.Age > 0 && now.Sub(g.at) > b.Age
			if i == len(all)-1 || !old && (b.Bytes <= 0 || sum <= b.Bytes) {
				break // the last is being written
			}
			if err := segments.DeleteBucket(g.name); err != nil {
				return err
			}
			sum -= g.size
			dropped++
		}
		return dropLives(tx)
	})
	return dropped, err
}

// dropLives forgets lives without segments, but the last.
func dropLives(tx *bbolt.Tx) error {
	lives := tx.Bucket(bucketLives)
	last, _ := lives.Cursor().Last()
	var gone [][]byte
	err := lives.ForEach(func(k, _ []byte) error {
		found, _ := tx.Bucket(bucketSegments).Cursor().Seek(append(append([]byte(nil), k...), '/'))
		if string(k) != string(last) && (len(found) <= len(k) || string(found[:len(k)]) != string(k)) {
			gone = append(gone, append([]byte(nil), k...))
		}
		return nil
	})
	for _, k := range gone {
		err = errors.Join(err, lives.Delete(k))
	}
	return err
}
