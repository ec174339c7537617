package daemon

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/internal/handover"
)

// TestResumeAfterReload guards against review case 10: a pilot that resumed after a failed upgrade had the settings of its
// start, not those of the last reload, and took a cold endpoint for warm.
func TestResumeAfterReload(t *testing.T) {
	p := testConfig(t, "x:1")
	p.Handover = filepath.Join(t.TempDir(), "handover.sock")
	p.RecordDir = t.TempDir()
	host, err := Start(t.Context(), p, Options{}, false)
	require.NoError(t, err)
	first := host.Daemon()
	require.Eventually(t, func() bool { return first.State().Listed }, 5*time.Second, time.Millisecond)
	updated := *p
	updated.Cold = 2 * time.Minute
	changed, _, err := host.Reload(t.Context(), &updated)
	require.NoError(t, err)
	require.Equal(t, []string{"Cold"}, changed)
	time.Sleep(500 * time.Millisecond) // longer than the writer's commit interval

	takeover, err := handover.RequestTakeover(p.Handover)
	require.NoError(t, err)
	lock, err := takeover.Claim() // the predecessor has stopped
	require.NoError(t, err)
	for _, listener := range takeover.Listeners {
		require.NoError(t, listener.Close())
	}
	takeover.Abort() // as if the successor had crashed
	lock.Release()

	require.Eventually(t, func() bool { return host.Daemon() != first }, 10*time.Second, time.Millisecond)
	resumed := host.Daemon()
	assert.Equal(t, updated.Cold, resumed.config.Load().Cold)
	assert.Contains(t, resumed.recording.decision.Reason, "recovered", "the record has the same settings")
	require.Eventually(t, func() bool { return resumed.State().Listed }, 5*time.Second, time.Millisecond)
	host.halt()
	host.close()
}
