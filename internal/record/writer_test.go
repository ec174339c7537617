package record

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"indigousher/internal/controller"
	"indigousher/planner"
)

// TestWriteFailures guards the record against a failing disk: recording continues, the readable turns are in order, and
// lost turns are marked by gaps.
func TestWriteFailures(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails func(int) bool
		gaps  bool
	}{
		{"no failure", nil, false},
		{"one commit fails", func(n int) bool { return n == 1 }, true},
		{"disk full for a while", func(n int) bool { return n > 2 && n < 8 }, true},
		{"random commits fail", func(n int) bool { return rand.New(rand.NewPCG(1, uint64(n))).Float64() < 0.4 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := openStore(t, t.TempDir())
			defer closeStore(t, s)
			writeLife(t, s, "a", 300, c.fails)
			at, gaps, err := readLife(s, "a")
			require.NoError(t, err)
			assert.Equal(t, c.gaps, gaps > 0)
			assert.IsIncreasing(t, at)
			if !c.gaps {
				assert.Len(t, at, 300)
			}
		})
	}
}

// TestHangingDisk guards the control loop against a disk that hangs: queuing a turn never blocks, and turns that don't
// fit into the queue leave a gap.
func TestHangingDisk(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer closeStore(t, s)
	w, err := NewWriter(s, Life{ID: "a"}, Limits{SegmentBytes: 1 << 20, CommitInterval: time.Millisecond}, zap.NewNop())
	require.NoError(t, err)
	release := make(chan struct{})
	update := w.update
	var blocked atomic.Bool
	w.update = func(f func(*bbolt.Tx) error) error {
		if blocked.CompareAndSwap(false, true) {
			<-release
		}
		return update(f)
	}
	stop := runWriter(t, w)
	for i := range 3 * maxQueuedTurns {
		w.Enqueue(func() *Turn { return sampleTurn(float64(i)) })
	}
	close(release)
	time.Sleep(20 * time.Millisecond)
	stop()
	at, gaps, err := readLife(s, "a")
	require.NoError(t, err)
	assert.Positive(t, gaps)
	assert.Less(t, len(at), 3*maxQueuedTurns)
}

// BenchmarkTurn measures the cost of recording for the control loop. One operation is a turn with 50 endpoint stats.
func BenchmarkTurn(b *testing.B) {
	s, err := Open(b.TempDir(), false)
	require.NoError(b, err)
	defer closeStore(b, s)
	w, err := NewWriter(s, Life{ID: "a"}, DefaultLimits(), zap.NewNop())
	require.NoError(b, err)
	stop := runWriter(b, w)
	r := NewRecorder(w.Enqueue, func() []controller.Input { return nil })
	var events []planner.Event
	for i := range 50 {
		events = append(events, planner.EndpointStats{
			Endpoint: i,
			Zone:     i % 3,
			Attempts: 30 + i,
			MeanMs:   20.5 + float64(i)/7,
			SpanMs:   1000.25,
			Load:     planner.Load{"util": 0.5, "rate": 20},
		})
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		commands := []planner.Command{planner.SetTimer{AtMs: float64(i), Name: "gather"}}
		r.Turn(float64(i)*10, nil, events, commands)
		i++
	}
	stop()
	b.ReportMetric(float64(w.Bytes.Load())/float64(max(1, w.Turns.Load())*50), "bytes/note")
	b.ReportMetric(float64(w.lostTurns.Load())/float64(b.N), "lost/turn")
}
