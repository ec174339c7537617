package record

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"go.etcd.io/bbolt"
	"go.uber.org/zap"
)

// Writer appends one life's turns off the loop's path. A disk that is full or fails never stops it: what can't be kept
// is a gap in the record, and it goes on when it can.
type Writer struct {
	store        *Store
	life         string
	bounds       Bounds
	log          *zap.Logger
	turns        chan func() *Turn
	lost         atomic.Int64 // turns that are in no chunk
	Turns        atomic.Int64
	Bytes        atomic.Int64
	update       func(f func(*bbolt.Tx) error) error // tests make it fail
	segment      int
	segmentBytes int
	nextChunk    uint64
}

// NewWriter begins a life.
func NewWriter(s *Store, l Life, b Bounds, log *zap.Logger) (*Writer, error) {
	if err := s.Begin(l); err != nil {
		return nil, err
	}
	return &Writer{store: s, life: l.ID, bounds: b, log: log, turns: make(chan func() *Turn, maxQueuedTurns), update: s.update}, nil
}

// Turn hands a turn over. It never waits; the turn is laid out when its time has come.
func (w *Writer) Turn(t func() *Turn) {
	select {
	case w.turns <- t:
		w.Turns.Add(1)
	default:
		w.lost.Add(1)
	}
}

// appendTurn adds a turn to what is committed next.
func (w *Writer) appendTurn(body []byte, t func() *Turn) []byte {
	b, err := Append(body, t())
	if err != nil {
		w.log.Error("turn not recorded", zap.Error(err))
		w.lost.Add(1)
		return body
	}
	return b
}

// Run writes until ctx ends, and then what has been handed over by then.
func (w *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(w.bounds.Every)
	defer tick.Stop()
	prune := time.NewTicker(time.Minute)
	defer prune.Stop()
	var body []byte
	for {
		select {
		case t := <-w.turns:
			body = w.appendTurn(body, t)
			if len(body) < w.bounds.Segment/4 {
				continue
			}
		case <-tick.C:
		case <-prune.C:
			if _, err := w.store.Prune(w.bounds, time.Now()); err != nil {
				w.log.Warn("prune records", zap.Error(err))
			}
			continue
		case <-ctx.Done():
			for {
				select {
				case t := <-w.turns:
					body = w.appendTurn(body, t)
					continue
				default:
				}
				break
			}
			w.commit(body)
			return nil
		}
		w.commit(body)
		body = body[:0]
	}
}

// commit writes a chunk. One that can't be written is lost, and shows as a gap before the next.
func (w *Writer) commit(body []byte) {
	lost := w.lost.Load()
	if len(body) == 0 && lost == 0 {
		return
	}
	err := w.update(func(tx *bbolt.Tx) error {
		name := []byte(fmt.Sprintf("%s/%08d", w.life, w.segment))
		seg, err := tx.Bucket(bucketSegments).CreateBucketIfNotExists(name)
		if err != nil {
			return err
		}
		if lost > 0 {
			if err := seg.Put(binary.BigEndian.AppendUint64(nil, w.nextChunk), w.store.encodeChunk(nil, time.Now())); err != nil {
				return err
			}
		}
		if len(body) == 0 {
			return nil
		}
		chunk := w.store.encodeChunk(body, time.Now())
		w.Bytes.Add(int64(len(chunk)))
		w.segmentBytes += len(chunk)
		return seg.Put(binary.BigEndian.AppendUint64(nil, w.nextChunk+1), chunk)
	})
	if err != nil {
		w.lost.Add(1)
		w.log.Error("record not written; decisions go on, the record has a gap", zap.Error(err))
		return
	}
	w.lost.Add(-lost)
	w.nextChunk += 2
	if w.segmentBytes >= w.bounds.Segment {
		w.segment, w.segmentBytes = w.segment+1, 0
	}
}
