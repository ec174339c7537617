package record

import (
	"context"
	"encoding/binary"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"
)

const (
	// maxQueuedTurns is how many turns may wait to be written. Further turns are lost and recorded as a gap. It bounds
	// the memory use while the disk hangs.
	maxQueuedTurns = 1024
	// pruneInterval is how often the limits are enforced. Exceeding them by a few segments in between does no harm.
	pruneInterval = time.Minute
	// chunksPerSegment is the minimum number of chunks in a full segment: turns are committed early when their encoding
	// reaches SegmentBytes/chunksPerSegment.
	chunksPerSegment = 4
)

// Writer appends the turns of one life to a store, outside the control loop. A full or failing disk never blocks the
// loop: turns that can't be written become a gap in the record, and writing resumes when the disk works again.
type Writer struct {
	store  *Store
	life   string
	limits Limits
	log    *zap.Logger
	update func(f func(*bbolt.Tx) error) error // Store.update; tests replace it to simulate failures
	turns  chan func() *Turn                   // queued turns, which are not encoded yet

	// Counters, which may be read at any time.
	Turns     atomic.Int64 // turns that were queued
	Bytes     atomic.Int64 // total size of the written chunks, in bytes
	lostTurns atomic.Int64 // lost turns that no gap stands for yet; a chunk that failed counts as one

	// Used by Run only.
	segment      int    // number of the segment that is being written
	segmentBytes int    // size of that segment so far, in bytes
	nextChunk    uint64 // number of the next chunk
}

// NewWriter stores a new life and returns a writer for its turns.
func NewWriter(s *Store, l Life, limits Limits, log *zap.Logger) (*Writer, error) {
	if err := s.BeginLife(l); err != nil {
		return nil, err
	}
	turns := make(chan func() *Turn, maxQueuedTurns)
	return &Writer{store: s, life: l.ID, limits: limits, log: log, update: s.update, turns: turns}, nil
}

// Enqueue queues a turn, which Run obtains by calling makeTurn. It never blocks: if the queue is full, the turn is
// lost.
func (w *Writer) Enqueue(makeTurn func() *Turn) {
	select {
	case w.turns <- makeTurn:
		w.Turns.Add(1)
	default:
		w.lostTurns.Add(1)
	}
}

// Run writes queued turns until ctx ends, then those that are still queued. It always returns nil.
func (w *Writer) Run(ctx context.Context) error {
	commit := time.NewTicker(w.limits.CommitInterval)
	defer commit.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	var encoded []byte // encoded turns since the last commit
	for {
		select {
		case makeTurn := <-w.turns:
			encoded = w.appendTurn(encoded, makeTurn)
			if len(encoded) >= w.limits.SegmentBytes/chunksPerSegment {
				w.commit(encoded)
				encoded = encoded[:0]
			}
		case <-commit.C:
			w.commit(encoded)
			encoded = encoded[:0]
		case <-prune.C:
			w.prune()
		case <-ctx.Done():
			w.commit(w.appendQueued(encoded))
			return nil
		}
	}
}

// appendTurn encodes a turn and appends it to encoded. A turn that can't be encoded is lost.
func (w *Writer) appendTurn(encoded []byte, makeTurn func() *Turn) []byte {
	extended, err := AppendTurn(encoded, makeTurn())
	if err != nil {
		w.log.Error("encoding a turn failed, it is lost from the record", zap.Error(err))
		w.lostTurns.Add(1)
		return encoded
	}
	return extended
}

// appendQueued encodes all queued turns and appends them to encoded.
func (w *Writer) appendQueued(encoded []byte) []byte {
	for {
		select {
		case makeTurn := <-w.turns:
			encoded = w.appendTurn(encoded, makeTurn)
		default:
			return encoded
		}
	}
}

// prune deletes records that exceed the limits.
func (w *Writer) prune() {
	if _, err := w.store.Prune(w.limits, time.Now()); err != nil {
		w.log.Warn("pruning records failed", zap.Error(err))
	}
}

// commit writes encoded turns as a chunk, preceded by a gap if turns were lost. If the write fails, the chunk is lost
// and the next one is preceded by a gap.
func (w *Writer) commit(encoded []byte) {
	lost := w.lostTurns.Load()
	if len(encoded) == 0 && lost == 0 {
		return
	}
	err := w.update(func(tx *bbolt.Tx) error { return w.putChunks(tx, encoded, lost > 0) })
	if err != nil {
		w.lostTurns.Add(1)
		w.log.Error("writing a chunk of turns failed, recording continues after a gap", zap.Error(err))
		return
	}
	w.lostTurns.Add(-lost)
	w.nextChunk += 2 // a number for the gap and one for the turns, used or not
	if w.segmentBytes >= w.limits.SegmentBytes {
		w.segment++
		w.segmentBytes = 0
	}
}

// putChunks adds chunks to the current segment: a gap if gap is set, then the encoded turns unless they are empty.
func (w *Writer) putChunks(tx *bbolt.Tx, encoded []byte, gap bool) error {
	segment, err := tx.Bucket(bucketSegments).CreateBucketIfNotExists(segmentName(w.life, w.segment))
	if err != nil {
		return err
	}
	if gap {
		if err := segment.Put(chunkKey(w.nextChunk), w.store.encodeChunk(nil, time.Now())); err != nil {
			return err
		}
	}
	if len(encoded) == 0 {
		return nil
	}
	chunk := w.store.encodeChunk(encoded, time.Now())
	w.Bytes.Add(int64(len(chunk)))
	w.segmentBytes += len(chunk)
	return segment.Put(chunkKey(w.nextChunk+1), chunk)
}

// chunkKey returns the key of a chunk. It is big-endian, so that the database sorts chunks by number.
func chunkKey(number uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, number)
}
