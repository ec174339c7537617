package record

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// A chunk holds the turns that one commit adds to a segment:
//
//	4 bytes  CRC-32C checksum of all following bytes, little-endian
//	8 bytes  write time by the system clock, Unix ms, little-endian
//	rest     the encoded turns one after another, compressed with zstd
//
// A chunk without turns marks a gap: turns were lost between the preceding chunk and the following one.
const (
	checksumBytes    = 4
	chunkHeaderBytes = checksumBytes + 8
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encodeChunk returns a chunk that holds encoded turns. Empty turns give a gap.
func (s *Store) encodeChunk(turns []byte, at time.Time) []byte {
	chunk := make([]byte, chunkHeaderBytes, chunkHeaderBytes+len(turns)/2)
	binary.LittleEndian.PutUint64(chunk[checksumBytes:], uint64(at.UnixMilli()))
	chunk = s.compressor.EncodeAll(turns, chunk)
	binary.LittleEndian.PutUint32(chunk, crc32.Checksum(chunk[checksumBytes:], checksumTable))
	return chunk
}

// decodeChunk verifies a chunk's checksum and returns its turns, none for a gap. All errors wrap ErrCorrupt.
func (s *Store) decodeChunk(chunk []byte) ([]Turn, error) {
	if len(chunk) < chunkHeaderBytes || !checksumMatches(chunk) {
		return nil, fmt.Errorf("chunk is too short or its checksum is wrong: %w", ErrCorrupt)
	}
	turns, err := s.decompressor.DecodeAll(chunk[chunkHeaderBytes:], nil)
	if err != nil {
		return nil, fmt.Errorf("%w: decompress chunk: %w", ErrCorrupt, err)
	}
	return DecodeTurns(turns)
}

func checksumMatches(chunk []byte) bool {
	return crc32.Checksum(chunk[checksumBytes:], checksumTable) == binary.LittleEndian.Uint32(chunk)
}

// chunkTime returns when a chunk was written, and false if the chunk is shorter than its header.
func chunkTime(chunk []byte) (time.Time, bool) {
	if len(chunk) < chunkHeaderBytes {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.LittleEndian.Uint64(chunk[checksumBytes:]))), true
}
