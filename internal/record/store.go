package record

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/klauspost/compress/zstd"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.uber.org/zap"
)

// Life is what is known of one process's record.
type Life struct {
	Format         int       `json:"Format"`
	ID             string    `json:"ID"` // sorts by start
	Pilot          string    `json:"Pilot"`
	Seed           int64     `json:"Seed"`
	Module         string    `json:"Module"`        // fingerprint of what decided
	Settings       string    `json:"Terms"`         // as JSON, at its start
	LatestSettings string    `json:"Now,omitempty"` // as JSON, after the last reload; "": as at its start
	Started        time.Time `json:"Started"`       // by the machine's clock, for people
	After          string    `json:"After"`         // the life that this one was rebuilt from, if any
	TailMs         float64   `json:"TailMs"`        // and how much of its end was asked for
}

// Limits are what a store may take.
type Limits struct {
	Bytes          int64         // of all records; the oldest segments go first
	Age            time.Duration // likewise
	SegmentBytes   int           // bytes of a segment
	CommitInterval time.Duration // group commit
}

// DefaultLimits are 1 GiB, a week, 8 MiB a segment, a commit each 200 ms.
func DefaultLimits() Limits {
	return Limits{Bytes: 1 << 30, Age: 7 * 24 * time.Hour, SegmentBytes: 8 << 20, CommitInterval: 200 * time.Millisecond}
}

// The layout: a bucket "lives" of JSON by life, and a bucket for each segment, named LIFE/NUMBER, of chunks by number. A
// chunk is a checksum, the time of its last turn, and turns laid out one after another, compressed. A gap is a chunk
// without turns.
var (
	bucketLives    = []byte("lives")
	bucketSegments = []byte("segments")
	castagnoli     = crc32.MakeTable(crc32.Castagnoli)
)

const (
	chunkHead = 12
	queueSize = 1024 // turns that may wait for the disk; one more is a gap
	lockWait  = time.Second
)

// Store is the file. It is opened by one process at a time.
type Store struct {
	db  *bbolt.DB
	zip *zstd.Encoder
	raw *zstd.Decoder
}

const fileName = "records.db"

// guarded does something with the file. The store panics on pages that make no sense, and a page that the file no longer
// has faults; both are torn records, which must not end a pilot.
func guarded(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, ErrCorrupt)
		}
	}()
	return f()
}

func (s *Store) view(f func(*bbolt.Tx) error) error {
	return guarded(func() error { return s.db.View(f) })
}

func (s *Store) update(f func(*bbolt.Tx) error) error {
	return guarded(func() error { return s.db.Update(f) })
}

// Quarantine moves a store's file out of the way, in place of one that was moved there before, and returns where it lies.
func Quarantine(dir string) (string, error) {
	from := filepath.Join(dir, fileName)
	if err := os.Rename(from, from+".torn"); err != nil {
		return "", fmt.Errorf("set records aside: %w", err)
	}
	return from + ".torn", nil
}

// OpenFile opens or makes a store's file, and tells one that is torn, by ErrTorn, from one that can't be had.
func OpenFile(path string, readOnly bool) (db *bbolt.DB, err error) {
	err = guarded(func() (err error) {
		db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, ReadOnly: readOnly, FreelistType: bbolt.FreelistMapType})
		return err
	})
	var refused syscall.Errno // by the system
	if err != nil && !errors.Is(err, bolterrors.ErrTimeout) && !errors.As(err, &refused) && !errors.Is(err, ErrCorrupt) {
		err = fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", path, err)
	}
	if err := guarded(func() error { return db.View(whole) }); err != nil {
		return nil, errors.Join(fmt.Errorf("open %s: %w", path, err), db.Close())
	}
	return db, nil
}

// walk goes through all buckets and keys, so that pages which make no sense show before anything depends on them.
func walk(b *bbolt.Bucket) error {
	return b.ForEach(func(k, v []byte) error {
		if v == nil && b.Bucket(k) != nil {
			return walk(b.Bucket(k))
		}
		return nil
	})
}

// whole returns whether the file has all the pages that it speaks of, and each is what it should be.
func whole(tx *bbolt.Tx) error {
	if at, err := os.Stat(tx.DB().Path()); err != nil || at.Size() < tx.Size() {
		return errors.Join(fmt.Errorf("shorter than %d bytes: %w", tx.Size(), ErrCorrupt), err)
	}
	return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error { return walk(b) })
}

// Open opens or makes the store in a folder. A second process that opens it fails. A file that is torn is told by ErrTorn.
func Open(dir string, readOnly bool) (*Store, error) {
	path := filepath.Join(dir, fileName)
	db, err := OpenFile(path, readOnly)
	if err != nil {
		return nil, fmt.Errorf("open records: %w", err)
	}
	s := &Store{db: db}
	if s.zip, err = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1)); err == nil {
		s.raw, err = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(256<<20))
	}
	if err == nil && !readOnly {
		err = s.update(func(tx *bbolt.Tx) error {
			for _, b := range [][]byte{bucketLives, bucketSegments} {
				if _, err := tx.CreateBucketIfNotExists(b); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err != nil {
		return nil, errors.Join(fmt.Errorf("open records %s: %w", path, err), db.Close())
	}
	return s, nil
}

// Close closes the file.
func (s *Store) Close() error {
	s.raw.Close()
	return errors.Join(s.zip.Close(), s.db.Close())
}

// Lives lists the lives, oldest first.
func (s *Store) Lives() (lives []Life, err error) {
	err = s.view(func(tx *bbolt.Tx) error {
		b := tx.Bucket(bucketLives)
		if b == nil {
			return nil
		}
		return b.ForEach(func(_, v []byte) error {
			var l Life
			if err := json.Unmarshal(v, &l); err != nil {
				return fmt.Errorf("%w: %w", ErrCorrupt, err)
			}
			lives = append(lives, l)
			return nil
		})
	})
	return lives, err
}

// Begin notes a new life.
func (s *Store) Begin(l Life) error {
	l.Format = Format
	v, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("begin record: %w", err)
	}
	return s.update(func(tx *bbolt.Tx) error { return tx.Bucket(bucketLives).Put([]byte(l.ID), v) })
}

// UpdateSettings notes the terms that a life goes on with after a reload.
func (s *Store) UpdateSettings(life, terms string) error {
	return s.update(func(tx *bbolt.Tx) error {
		var l Life
		if err := json.Unmarshal(tx.Bucket(bucketLives).Get([]byte(life)), &l); err != nil {
			return fmt.Errorf("note terms: %w", err)
		}
		l.LatestSettings = terms
		v, err := json.Marshal(l)
		if err != nil {
			return fmt.Errorf("note terms: %w", err)
		}
		return tx.Bucket(bucketLives).Put([]byte(life), v)
	})
}

// Read calls f with each chunk's turns of a life, in order. A chunk that is torn ends it with ErrTorn; gap tells that
// turns are missing before what follows.
func (s *Store) Read(life string, f func(turns []Turn, gap bool) error) error {
	return s.view(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketSegments).Cursor()
		prefix := []byte(life + "/")
		for k, v := c.Seek(prefix); k != nil && v == nil && len(k) > len(prefix) && string(k[:len(prefix)]) == string(prefix); k, v = c.Next() {
			err := tx.Bucket(bucketSegments).Bucket(k).ForEach(func(_, chunk []byte) error {
				turns, err := s.unpack(chunk)
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

func (s *Store) unpack(chunk []byte) ([]Turn, error) {
	if len(chunk) < chunkHead || crc32.Checksum(chunk[4:], castagnoli) != binary.LittleEndian.Uint32(chunk) {
		return nil, fmt.Errorf("checksum: %w", ErrCorrupt)
	}
	body, err := s.raw.DecodeAll(chunk[chunkHead:], nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return DecodeTurns(body)
}

func (s *Store) pack(body []byte, at time.Time) []byte {
	chunk := make([]byte, chunkHead, chunkHead+len(body)/2)
	binary.LittleEndian.PutUint64(chunk[4:], uint64(at.UnixMilli()))
	chunk = s.zip.EncodeAll(body, chunk)
	binary.LittleEndian.PutUint32(chunk, crc32.Checksum(chunk[4:], castagnoli))
	return chunk
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
				if _, v := tx.Bucket(bucketSegments).Bucket(k).Cursor().Last(); len(v) >= chunkHead {
					at = time.UnixMilli(int64(binary.LittleEndian.Uint64(v[4:])))
				}
			}
			return nil
		})
	})
	return at
}

// Prune drops the oldest segments until all fit the bounds, and lives of which nothing is left.
func (s *Store) Prune(b Limits, now time.Time) (dropped int, err error) {
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
				if len(v) >= chunkHead {
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

// Writer appends one life's turns off the loop's path. A disk that is full or fails never stops it: what can't be kept
// is a gap in the record, and it goes on when it can.
type Writer struct {
	store   *Store
	life    string
	bounds  Limits
	log     *zap.Logger
	turns   chan func() *Turn
	lost    atomic.Int64 // turns that are in no chunk
	Turns   atomic.Int64
	Bytes   atomic.Int64
	put     func(f func(*bbolt.Tx) error) error // tests make it fail
	segment int
	size    int
	number  uint64
}

// NewWriter begins a life.
func NewWriter(s *Store, l Life, b Limits, log *zap.Logger) (*Writer, error) {
	if err := s.Begin(l); err != nil {
		return nil, err
	}
	return &Writer{store: s, life: l.ID, bounds: b, log: log, turns: make(chan func() *Turn, queueSize), put: s.update}, nil
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

// lay adds a turn to what is committed next.
func (w *Writer) lay(body []byte, t func() *Turn) []byte {
	b, err := AppendTurn(body, t())
	if err != nil {
		w.log.Error("turn not recorded", zap.Error(err))
		w.lost.Add(1)
		return body
	}
	return b
}

// Run writes until ctx ends, and then what has been handed over by then.
func (w *Writer) Run(ctx context.Context) error {
	tick := time.NewTicker(w.bounds.CommitInterval)
	defer tick.Stop()
	prune := time.NewTicker(time.Minute)
	defer prune.Stop()
	var body []byte
	for {
		select {
		case t := <-w.turns:
			body = w.lay(body, t)
			if len(body) < w.bounds.SegmentBytes/4 {
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
					body = w.lay(body, t)
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
	err := w.put(func(tx *bbolt.Tx) error {
		name := []byte(fmt.Sprintf("%s/%08d", w.life, w.segment))
		seg, err := tx.Bucket(bucketSegments).CreateBucketIfNotExists(name)
		if err != nil {
			return err
		}
		if lost > 0 {
			if err := seg.Put(binary.BigEndian.AppendUint64(nil, w.number), w.store.pack(nil, time.Now())); err != nil {
				return err
			}
		}
		if len(body) == 0 {
			return nil
		}
		chunk := w.store.pack(body, time.Now())
		w.Bytes.Add(int64(len(chunk)))
		w.size += len(chunk)
		return seg.Put(binary.BigEndian.AppendUint64(nil, w.number+1), chunk)
	})
	if err != nil {
		w.lost.Add(1)
		w.log.Error("record not written; decisions go on, the record has a gap", zap.Error(err))
		return
	}
	w.lost.Add(-lost)
	w.number += 2
	if w.size >= w.bounds.SegmentBytes {
		w.segment, w.size = w.segment+1, 0
	}
}
