package record

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"time"
)

// A chunk is what one commit adds to a segment:
//
//	4 bytes  checksum of all that follows, CRC-32C, little-endian
//	8 bytes  when it was written, Unix ms of the machine's clock, little-endian
//	         turns one behind another, compressed
//
// A chunk without turns marks a gap: turns are missing before what follows.
const (
	checksumBytes    = 4
	chunkHeaderBytes = checksumBytes + 8
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// encodeChunk returns a chunk of encoded turns, none for a gap.
func (s *Store) encodeChunk(turns []byte, at time.Time) []byte {
	chunk := make([]byte, chunkHeaderBytes, chunkHeaderBytes+len(turns)/2)
	binary.LittleEndian.PutUint64(chunk[checksumBytes:], uint64(at.UnixMilli()))
	chunk = s.compressor.EncodeAll(turns, chunk)
	binary.LittleEndian.PutUint32(chunk, crc32.Checksum(chunk[checksumBytes:], checksumTable))
	return chunk
}

// decodeChunk returns a chunk's turns; all errors are ErrCorrupt.
func (s *Store) decodeChunk(chunk []byte) ([]Turn, error) {
	if len(chunk) < chunkHeaderBytes || !checksumMatches(chunk) {
		return nil, fmt.Errorf("checksum: %w", ErrCorrupt)
	}
	turns, err := s.decompressor.DecodeAll(chunk[chunkHeaderBytes:], nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return DecodeTurns(turns)
}

func checksumMatches(chunk []byte) bool {
	return crc32.Checksum(chunk[checksumBytes:], checksumTable) == binary.LittleEndian.Uint32(chunk)
}

// chunkTime returns when a chunk was written, and false for one that is too short to say.
func chunkTime(chunk []byte) (time.Time, bool) {
	if len(chunk) < chunkHeaderBytes {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.LittleEndian.Uint64(chunk[checksumBytes:]))), true
}
