package record

import (
	"encoding/binary"
	"time"

	"go.etcd.io/bbolt"
)

// Read calls f with each chunk's turns of a life, in order. A chunk that is torn ends it with ErrTorn; gap tells that
// turns are missing before what follows.
func (s *Store) Read(life string, f func(turns []Turn, gap bool) error) error {
	return s.view(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketSegments).Cursor()
		prefix := []byte(life + "/")
		for k, v := c.Seek(prefix); k != nil && v == nil && len(k) > len(prefix) && string(k[:len(prefix)]) == string(prefix); k, v = c.Next() {
			err := tx.Bucket(bucketSegments).Bucket(k).ForEach(func(_, chunk []byte) error {
				turns, err := s.decodeChunk(chunk)
				if err != nil {
					return err
				}
				return f(turns, len(turns) == 0)
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
}

// Size is what a life's segments take.
func (s *Store) Size(life string) (bytes int64, chunks int) {
	_ = s.view(func(tx *bbolt.Tx) error { // only reads
		return tx.Bucket(bucketSegments).ForEachBucket(func(k []byte) error {
			if len(k) > len(life) && string(k[:len(life)]) == life {
				return tx.Bucket(bucketSegments).Bucket(k).ForEach(func(_, v []byte) error {
					bytes, chunks = bytes+int64(len(v)), chunks+1
					return nil
				})
			}
			return nil
		})
	})
	return bytes, chunks
}

// LastAt returns when the last chunk of a life was written, by the machine's clock.
func (s *Store) LastAt(life string) (at time.Time) {
	_ = s.view(func(tx *bbolt.Tx) error { // only reads
		return tx.Bucket(bucketSegments).ForEachBucket(func(k []byte) error {
			if len(k) > len(life) && string(k[:len(life)]) == life {
				if _, v := tx.Bucket(bucketSegments).Bucket(k).Cursor().Last(); len(v) >= chunkHeaderBytes {
					at = time.UnixMilli(int64(binary.LittleEndian.Uint64(v[4:])))
				}
			}
			return nil
		})
	})
	return at
}
