package record

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

const (
	chunkHeaderBytes = 12
	maxQueuedTurns   = 1024 // turns that may wait for the disk; one more is a gap
	lockTimeout      = time.Second
)

// The layout: a bucket "lives" of JSON by life, and a bucket for each segment, named LIFE/NUMBER, of chunks by number. A
// chunk is a checksum, the time of its last turn, and turns laid out one after another, compressed. A gap is a chunk
// without turns.
var (
	bucketLives    = []byte("lives")
	bucketSegments = []byte("segments")
	checksumTable  = crc32.MakeTable(crc32.Castagnoli)
)

func (s *Store) encodeChunk(body []byte, at time.Time) []byte {
	chunk := make([]byte, chunkHeaderBytes, chunkHeaderBytes+len(body)/2)
	binary.LittleEndian.PutUint64(chunk[4:], uint64(at.UnixMilli()))
	chunk = s.compressor.EncodeAll(body, chunk)
	binary.LittleEndian.PutUint32(chunk, crc32.Checksum(chunk[4:], checksumTable))
	return chunk
}

func (s *Store) decodeChunk(chunk []byte) ([]Turn, error) {
	if len(chunk) < chunkHeaderBytes || crc32.Checksum(chunk[4:], checksumTable) != binary.LittleEndian.Uint32(chunk) {
		return nil, fmt.Errorf("checksum: %w", ErrTorn)
	}
	body, err := s.decompressor.DecodeAll(chunk[chunkHeaderBytes:], nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrTorn, err)
	}
	return Turns(body)
}
