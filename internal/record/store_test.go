package record

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
)

// TestStore checks the lives, sizes and pruning of a store, and that it can't be opened twice for writing.
func TestStore(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	writeLife(t, s, "a", 200, nil)
	writeLife(t, s, "b", 200, nil)
	_, err := Open(dir, false)
	assert.Error(t, err, "the store is already open")
	lives, err := s.Lives()
	require.NoError(t, err)
	assert.Len(t, lives, 2)
	size, chunks := s.Size("a")
	assert.Greater(t, chunks, 5)
	dropped, err := s.Prune(Limits{Bytes: size}, time.Now())
	require.NoError(t, err)
	assert.Positive(t, dropped)
	remaining, _ := s.Size("b")
	assert.LessOrEqual(t, remaining, size)
	at, _, err := readLife(s, "b")
	require.NoError(t, err)
	assert.Equal(t, 199.0, at[len(at)-1])
	_, err = s.Prune(Limits{Age: time.Nanosecond}, time.Now().Add(time.Hour))
	require.NoError(t, err)
	lives, err = s.Lives()
	require.NoError(t, err)
	assert.Len(t, lives, 1)
	require.NoError(t, s.Close())
	reopened, err := Open(dir, true)
	require.NoError(t, err)
	require.NoError(t, reopened.Close())
}

// TestDamagedChunk guards against data that changed on disk: the turns before it are read, and the damage is reported.
func TestDamagedChunk(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer closeStore(t, s)
	writeLife(t, s, "a", 100, nil)
	damageSecondChunk(t, s)
	at, _, err := readLife(s, "a")
	assert.ErrorIs(t, err, ErrCorrupt)
	assert.NotEmpty(t, at)
	turns, damaged, err := ReadTail(s, "a", 1e9)
	require.NoError(t, err)
	assert.True(t, damaged)
	assert.Len(t, turns, len(at))
}

// damageSecondChunk changes the last byte of the second chunk of the first segment.
func damageSecondChunk(t *testing.T, s *Store) {
	require.NoError(t, s.db.Update(func(tx *bbolt.Tx) error {
		segments := tx.Bucket(bucketSegments)
		name, _ := segments.Cursor().First()
		segment := segments.Bucket(name)
		c := segment.Cursor()
		c.First()
		key, chunk := c.Next()
		require.NotNil(t, key)
		damaged := bytes.Clone(chunk)
		damaged[len(damaged)-1] ^= 0xff
		return segment.Put(key, damaged)
	}))
}

// TestMissingFolder checks the error for a store in a folder that does not exist.
func TestMissingFolder(t *testing.T) {
	_, err := Open(filepath.Join(t.TempDir(), "none"), false)
	assert.ErrorIs(t, err, os.ErrNotExist)
}
