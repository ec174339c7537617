package record

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"go.uber.org/zap"

	"indigousher/brain"
	"indigousher/internal/pilot"
)

// TestDisk shows what each fault of the disk leaves: never a turn that was not, never a stop, always a gap that shows.
func TestDisk(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails func(int) bool
		gaps  bool
	}{
		{"all well", nil, false},
		{"a commit fails", func(n int) bool { return n == 1 }, true},
		{"full for a while", func(n int) bool { return n > 2 && n < 8 }, true},
		{"failing by chance", func(n int) bool { return rand.New(rand.NewPCG(1, uint64(n))).Float64() < 0.4 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := openStore(t, t.TempDir())
			defer s.Close()
			writeLife(t, s, "a", 0, 300, c.fails)
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

// TestSlowDisk guards the loop against a disk that hangs: handing over never waits, and what did not fit is a gap.
func TestSlowDisk(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	w, err := NewWriter(s, Life{ID: "a"}, Bounds{Segment: 1 << 20, Every: time.Millisecond}, zap.NewNop())
	require.NoError(t, err)
	release, put := make(chan bool), w.update
	var held atomic.Bool
	w.update = func(f func(*bbolt.Tx) error) error {
		if held.CompareAndSwap(false, true) {
			<-release
		}
		return put(f)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	for i := range 3 * maxQueuedTurns {
		w.Turn(func() *Turn { return sampleTurn(float64(i)) })
	}
	close(release)
	time.Sleep(20 * time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	at, gaps, err := readLife(s, "a")
	require.NoError(t, err)
	assert.Positive(t, gaps)
	assert.Less(t, len(at), 3*maxQueuedTurns)
}

// BenchmarkTurn measures what recording costs the loop: one operation is a turn of 50 report lines.
func BenchmarkTurn(b *testing.B) {
	s, err := Open(b.TempDir(), false)
	require.NoError(b, err)
	defer s.Close()
	w, err := NewWriter(s, Life{ID: "a"}, DefaultBounds(), zap.NewNop())
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	r := NewRecorder(w.Turn, func() []pilot.Input { return nil })
	var told []brain.Note
	for i := range 50 {
		told = append(told, brain.Met{Endpoint: i, Zone: i % 3, Tries: 30 + i, MeanMs: 20.5 + float64(i)/7, SpanMs: 1000.25, Load: brain.Load{"util": 0.5, "rate": 20}})
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		r.Turn(float64(i)*10, nil, told, []brain.Order{brain.WakeAt{AtMs: float64(i), Name: "gather"}})
		i++
	}
	cancel()
	<-done
	b.ReportMetric(float64(w.Bytes.Load())/float64(max(1, w.Turns.Load())*50), "bytes/note")
	b.ReportMetric(float64(w.lost.Load())/float64(b.N), "lost/turn")
}
