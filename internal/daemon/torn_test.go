package daemon

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/config"
)

// recordedLife lets a pilot live for a moment with a record and a proxy, and returns its terms.
func recordedLife(t *testing.T) *config.Pilot {
	p := pilotTerms(t, "x:1", "y:1")
	p.RecordDir = t.TempDir()
	d, err := New(p, Options{})
	require.NoError(t, err)
	stop, ended := run(t, d)
	following(t, func() []string { return []string{d.Address()} })
	require.Eventually(t, func() bool { return d.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond) // past a commit
	stop()
	require.NoError(t, <-ended)
	return p
}

// TestTornRecord guards a pilot's start against a record whose file was cut off, overwritten or filled with anything:
// it starts cold, says so, goes on recording, and leaves the old file for whoever wants to look.
func TestTornRecord(t *testing.T) {
	p := recordedLife(t)
	path := filepath.Join(p.RecordDir, "records.db")
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	cut := func(n int) []byte { return whole[:n] }
	spoilt := func(from, to int) []byte {
		b := bytes.Clone(whole)
		for i := from; i < min(to, len(b)); i++ {
			b[i] ^= byte(0x5a + i)
		}
		return b
	}
	cases := map[string][]byte{
		"as it was":       whole,
		"empty":           cut(0),
		"no file of ours": make([]byte, 1<<16),
		"a text":          []byte("not a record"),
		"first page":      spoilt(0, 4096),
		"both heads":      spoilt(0, 8192),
	}
	for n := 1; n < len(whole); n += len(whole)/12 + 1 {
		cases[fmt.Sprint("cut off after ", n)] = cut(n)
	}
	for n := 8192; n < len(whole); n += 4096 {
		cases[fmt.Sprint("spoilt from ", n)] = spoilt(n, n+4096)
		cases[fmt.Sprint("a few bytes from ", n)] = spoilt(n, n+20)
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			p := *p
			p.RecordDir = t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(p.RecordDir, "records.db"), content, 0o600))
			d, err := New(&p, Options{})
			require.NoError(t, err)
			if name == "as it was" {
				assert.Contains(t, d.recording.decision.Reason, "recovered")
			}
			stop, ended := run(t, d)
			following(t, func() []string { return []string{d.Address()} })
			assert.Eventually(t, listedAndJoined(d), 5*time.Second, time.Millisecond)
			stop()
			assert.NoError(t, <-ended)
		})
	}
}

// TestReturnAfterReload guards a return after terms were reloaded: the record is of the terms that were in force last,
// not of those at the life's start.
func TestReturnAfterReload(t *testing.T) {
	p := pilotTerms(t, "x:1", "y:1")
	p.RecordDir = t.TempDir()
	d, err := New(p, Options{})
	require.NoError(t, err)
	_, ended := run(t, d)
	require.Eventually(t, func() bool { return d.State().Listed }, 5*time.Second, time.Millisecond)
	now := *p
	now.LinesPerS = 777
	now.DrainGrace = 3 * time.Second
	changed, _, err := d.Reload(t.Context(), &now)
	require.NoError(t, err)
	assert.Len(t, changed, 2)
	time.Sleep(500 * time.Millisecond) // past a commit
	d.Kill()
	require.NoError(t, <-ended)
	for _, c := range []struct {
		terms *config.Pilot
		want  string
	}{
		{&now, "recovered from"},
		{p, "cold start: the record is of other terms"},
	} {
		back, err := New(c.terms, Options{})
		require.NoError(t, err)
		assert.Contains(t, back.recording.decision.Reason, c.want)
		stop, ended := run(t, back)
		require.Eventually(t, func() bool { return back.State().Listed }, 5*time.Second, time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		stop()
		require.NoError(t, <-ended)
	}
}
