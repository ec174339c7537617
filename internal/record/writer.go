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
	// maxQueuedTurns may wait for the disk; one more is lost and shows as a gap. It bounds the memory that a disk which
	// hangs can take.
	maxQueuedTurns = 1024
	// pruneInterval is how often the bounds are looked after; a few segments more in between do no harm.
	pruneInterval = time.Minute
	// chunksPerSegment, at least: a chunk is committed before its time when its turns reach this part of a segment.
	chunksPerSegment = 4
)

// Writer appends one life's turns away from the control loop. A disk that is full or fails never stops the loop: what
// can't be kept is a gap in the record, and writing goes on when it can.
type Writer struct {
	store  *Store
	life   string
	limits Limits
	log    *zap.Logger
	update func(f func(*bbolt.Tx) error) error // the store's; tests make it fail
	turns  chan func() *Turn                   // handed over and not encoded yet

	// Counts, for whoever looks.
	Turns     atomic.Int64 // handed over
	Bytes     atomic.Int64 // of the chunks written
	lostTurns atomic.Int64 // turns that are in no chunk and in no gap yet

	// Owned by Run.
	segment      int // number of the segment that is written
	segmentBytes int // that it has so far
	nextChunk    uint64
}

// NewWriter stores a new life and returns the writer of its turns.
func NewWriter(s *Store, l Life, limits Limits, log *zap.Logger) (*Writer, error) {
	if err := s.Begin(l); err != nil {
		return nil, err
	}
	turns := make(chan func() *Turn, maxQueuedTurns)
	return &Writer{store: s, life: l.ID, limits: limits, log: log, update: s.update, turns: turns}, nil
}

// Turn hands a turn over and never waits; makeTurn is called by Run.
func (w *Writer) Turn(makeTurn func() *Turn) {
	select {
	case w.turns <- makeTurn:
		w.Turns.Add(1)
	default:
		w.lostTurns.Add(1)
	}
}

// Run writes until ctx ends, and then what has been handed over by then. Its error is always nil.
func (w *Writer) Run(ctx context.Context) error {
	commit := time.NewTicker(w.limits.CommitInterval)
	defer commit.Stop()
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	var encoded []byte // turns since the last commit
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

// appendTurn encodes a turn behind those that are committed next. One that can't be encoded is lost.
func (w *Writer) appendTurn(encoded []byte, makeTurn func() *Turn) []byte {
	extended, err := AppendTurn(encoded, makeTurn())
	if err != nil {
		w.log.Error("turn not recorded", zap.Error(err))
		w.lostTurns.Add(1)
		return encoded
	}
	return extended
}

// appendQueued encodes all turns that have been handed over.
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

func (w *Writer) prune() {
	if _, err := w.store.Prune(w.limits, time.Now()); err != nil {
		w.log.Warn("pruning records failed", zap.Error(err))
	}
}

// commit writes a chunk, behind a gap if turns were lost before it. A chunk that can't be written is lost itself, and
// shows as a gap before the next.
func (w *Writer) commit(encoded []byte) {
	lost := w.lostTurns.Load()
	if len(encoded) == 0 && lost == 0 {
		return
	}
	err := w.update(func(tx *bbolt.Tx) error { return w.putChunks(tx, encoded, lost > 0) })
	if err != nil {
		w.lostTurns.Add(1)
		w.log.Error("record not written, continuing with a gap in it", zap.Error(err))
		return
	}
	w.lostTurns.Add(-lost)
	w.nextChunk += 2 // one for a gap, one for turns
	if w.segmentBytes >= w.limits.SegmentBytes {
		w.segment++
		w.segmentBytes = 0
	}
}

// putChunks puts a gap, if one is due, and a chunk of turns, if there are any, into the segment that is written.
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

// chunkKey is a chunk's number in an order that the database keeps.
func chunkKey(number uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, number)
}
