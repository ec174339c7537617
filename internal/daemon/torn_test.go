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

// recordShortRun runs a pilot with recording and one proxy for half a second, and returns its configuration.
func recordShortRun(t *testing.T) *config.Pilot {
	p := testConfig(t, "x:1", "y:1")
	p.RecordDir = t.TempDir()
	d, err := New(p, Options{})
	require.NoError(t, err)
	stop, ended := run(t, d)
	startProxy(t, func() []string { return []string{d.Address()} })
	require.Eventually(t, func() bool { return d.State().Proxies == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond) // longer than the writer's commit interval
	stop()
	require.NoError(t, <-ended)
	return p
}

// TestTornRecord checks that a pilot starts and serves a proxy when its record file is truncated, partly overwritten or
// not a record at all. A corrupt page once made the pilot panic at every start. The pilot must instead start cold, say
// so in the log, continue recording in a new file, and keep the damaged one.
func TestTornRecord(t *testing.T) {
	p := recordShortRun(t)
	path := filepath.Join(p.RecordDir, "records.db")
	whole, err := os.ReadFile(path)
	require.NoError(t, err)
	cut := func(n int) []byte { return whole[:n] }
	corrupted := func(from, to int) []byte {
		b := bytes.Clone(whole)
		for i := from; i < min(to, len(b)); i++ {
			b[i] ^= byte(0x5a + i)
		}
		return b
	}
	cases := map[string][]byte{
		"unchanged":         whole,
		"empty":             cut(0),
		"zeros":             make([]byte, 1<<16),
		"text":              []byte("not a record"),
		"first page":        corrupted(0, 4096),
		"both header pages": corrupted(0, 8192),
	}
	for n := 1; n < len(whole); n += len(whole)/12 + 1 {
		cases[fmt.Sprint("truncated to ", n)] = cut(n)
	}
	for n := 8192; n < len(whole); n += 4096 {
		cases[fmt.Sprint("corrupted page at ", n)] = corrupted(n, n+4096)
		cases[fmt.Sprint("corrupted bytes at ", n)] = corrupted(n, n+20)
	}
	for name, content := range cases {
		t.Run(name, func(t *testing.T) {
			p := *p
			p.RecordDir = t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(p.RecordDir, "records.db"), content, 0o600))
			d, err := New(&p, Options{})
			require.NoError(t, err)
			if name == "unchanged" {
				assert.Contains(t, d.recording.decision.Reason, "recovered")
			}
			stop, ended := run(t, d)
			startProxy(t, func() []string { return []string{d.Address()} })
			assert.Eventually(t, listedAndJoined(d), 5*time.Second, time.Millisecond)
			stop()
			assert.NoError(t, <-ended)
		})
	}
}

// TestReturnAfterReload checks that a recovery compares the pilot's settings with those of the last reload, not with
// those at the start of the recorded life.
func TestReturnAfterReload(t *testing.T) {
	p := testConfig(t, "x:1", "y:1")
	p.RecordDir = t.TempDir()
	d, err := New(p, Options{})
	require.NoError(t, err)
	_, ended := run(t, d)
	require.Eventually(t, func() bool { return d.State().Listed }, 5*time.Second, time.Millisecond)
	updated := *p
	updated.LinesPerS = 777
	updated.DrainGrace = 3 * time.Second
	changed, _, err := d.Reload(t.Context(), &updated)
	require.NoError(t, err)
	assert.Len(t, changed, 2)
	time.Sleep(500 * time.Millisecond) // longer than the writer's commit interval
	d.Kill()
	require.NoError(t, <-ended)
	for _, c := range []struct {
		terms *config.Pilot
		want  string
	}{
		{&updated, "recovered from"},
		{p, "cold start: the record was made with other planner settings"},
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
