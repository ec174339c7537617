package daemon

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"flag"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"indigousher/internal/controller"
	"indigousher/internal/record"
	"indigousher/planner"
)

var update = flag.Bool("update", false, "rewrite the store in testdata; only if the stored format has changed")

// oldStore is a store written by commit 7c7c6c6, before types and fields that are stored in it were renamed.
const oldStore = "testdata/records-7c7c6c6.db.gz"

// TestOldStore guards against incompatible changes of the stored format, for example by renaming Go types or fields: a
// store written by an earlier version must replay to the same commands, and a pilot must recover its state from it.
func TestOldStore(t *testing.T) {
	if *update {
		p := recordShortRun(t)
		content, err := os.ReadFile(filepath.Join(p.RecordDir, "records.db"))
		require.NoError(t, err)
		require.NoError(t, os.MkdirAll(filepath.Dir(oldStore), 0o755))
		var compressed bytes.Buffer
		writer := gzip.NewWriter(&compressed)
		_, err = writer.Write(content)
		require.NoError(t, err)
		require.NoError(t, writer.Close())
		require.NoError(t, os.WriteFile(oldStore, compressed.Bytes(), 0o644))
	}
	p := testConfig(t, "x:1", "y:1")
	p.RecordDir = t.TempDir()
	unpackStore(t, p.RecordDir)
	setLastWritten(t, p.RecordDir, time.Now().Add(-time.Second))

	store, err := OpenRecords(p.RecordDir)
	require.NoError(t, err)
	lives, err := store.Lives()
	require.NoError(t, err)
	require.Len(t, lives, 1)
	assert.Equal(t, "701c66171943c29a", lives[0].PlannerFingerprint)
	result, err := record.Replay(store, lives[0], nil, func(seed int64, settings map[string]any) controller.Decider {
		return planner.New(seed, settings)
	})
	require.NoError(t, err)
	assert.Empty(t, result.FirstDiff)
	assert.Positive(t, result.Turns)
	require.NoError(t, store.Close())

	d, err := New(p, Options{})
	require.NoError(t, err)
	assert.Contains(t, d.recording.decision.Reason, "recovered from")
	stop, ended := run(t, d)
	startProxy(t, func() []string { return []string{d.Address()} })
	require.Eventually(t, listedAndJoined(d), 5*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond) // longer than the writer's commit interval
	stop()
	require.NoError(t, <-ended)

	store, err = OpenRecords(p.RecordDir)
	require.NoError(t, err)
	lives, err = store.Lives()
	require.NoError(t, err)
	require.Len(t, lives, 2)
	assert.Equal(t, "701c66171943c29a", lives[1].PlannerFingerprint)
	assert.Equal(t, lives[0].ID, lives[1].RestoredFrom)
	assert.Equal(t, lives[0].Settings, lives[1].Settings)
	require.NoError(t, store.Close())
}

// unpackStore decompresses oldStore into dir.
func unpackStore(t *testing.T, dir string) {
	file, err := os.Open(oldStore)
	require.NoError(t, err)
	defer mustClose(t, file)
	reader, err := gzip.NewReader(file)
	require.NoError(t, err)
	content, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "records.db"), content, 0o600))
}

// setLastWritten sets the write time of all chunks in a store to at. A chunk starts with a checksum of the rest of the
// chunk (4 bytes), followed by the time at which it was written (8 bytes, milliseconds since 1970).
func setLastWritten(t *testing.T, dir string, at time.Time) {
	db, err := bbolt.Open(filepath.Join(dir, "records.db"), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(func(tx *bbolt.Tx) error {
		segments := tx.Bucket([]byte("segments"))
		return segments.ForEachBucket(func(name []byte) error {
			segment := segments.Bucket(name)
			chunks := map[string][]byte{}
			err := segment.ForEach(func(key, chunk []byte) error {
				dated := bytes.Clone(chunk)
				binary.LittleEndian.PutUint64(dated[4:], uint64(at.UnixMilli()))
				binary.LittleEndian.PutUint32(dated, crc32.Checksum(dated[4:], crc32.MakeTable(crc32.Castagnoli)))
				chunks[string(key)] = dated
				return nil
			})
			for key, chunk := range chunks {
				if err == nil {
					err = segment.Put([]byte(key), chunk)
				}
			}
			return err
		})
	}))
	require.NoError(t, db.Close())
}
