package record

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"indigousher/internal/wire"
	"indigousher/planner"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// sampleInputs holds one input of each kind.
var sampleInputs = []Input{
	{Kind: KindProxyJoined, Stream: 3, Message: &wire.Hello{
		Version: 1, Proxy: "p", Zone: "a", Rate: 2.5, Fresh: true,
		Holds: []string{"x"},
	}},
	{Kind: KindProxyLeft, Stream: 3},
	{Kind: KindAcked, Stream: 3, Message: &wire.Done{Mark: 9, TookMs: 0.5}},
	{Kind: KindEndpointsListed, Message: &wire.List{
		Version: 2, Now: 5, Whole: true,
		Entries: []wire.Entry{{Endpoint: "x", Zone: "a", Weight: 1}},
	}},
	{Kind: KindEndpointListLost},
	{Kind: KindGossip, From: 2, Text: "hi"},
	{Kind: KindSettingsChanged, Text: `{"backlog":5}`},
	{Kind: KindCheckpoint},
	{
		Kind:        KindHealthChecked,
		Text:        "x",
		HealthCheck: planner.HealthCheckResult{Outcome: "ok", TookMs: 1.25, Load: planner.Load{"util": 0.5}},
	},
	{Kind: KindEndpointStats, Event: planner.EndpointStats{
		Endpoint: 1, Zone: 2, Attempts: 30, Failed: 4, MeanMs: 12.5, SpanMs: 1000,
		Load: planner.Load{"util": 0.25, "rate": 7},
	}},
	{
		Kind:    KindSliceAssigned,
		Message: &wire.Slices{Slice: 3, Given: true, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 1}}},
	},
	{Kind: KindSliceStats, Event: planner.SliceStats{Slice: 3, Class: 1, Requests: 4, Unanswered: 1, SpanMs: 1000}},
	{
		Kind:  KindRequestStats,
		Event: planner.RequestStats{Proxy: 4, Class: 1, Requests: 12, Unanswered: 1, SpanMs: 999.5},
	},
}

func sampleTurn(at float64) *Turn {
	return &Turn{AtMs: at, Digest: uint64(at) * 7, Inputs: sampleInputs}
}

func openStore(t *testing.T, dir string) *Store {
	s, err := Open(dir, false)
	require.NoError(t, err)
	return s
}

func closeStore(t testing.TB, s *Store) { assert.NoError(t, s.Close()) }

// runWriter starts a writer. The returned function ends it and waits until it has written all queued turns.
func runWriter(t testing.TB, w *Writer) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	return func() {
		cancel()
		require.NoError(t, <-done)
	}
}

// writeLife records the given number of turns as one life. The commits for whose number fails returns true fail; a nil
// fails means that none does.
func writeLife(t *testing.T, s *Store, life string, turns int, fails func(int) bool) {
	w, err := NewWriter(s, Life{ID: life}, Limits{SegmentBytes: 2000, CommitInterval: time.Millisecond}, zap.NewNop())
	require.NoError(t, err)
	commits := 0
	update := w.update
	w.update = func(f func(*bbolt.Tx) error) error {
		commits++
		if fails != nil && fails(commits) {
			return errors.New("no space left")
		}
		return update(f)
	}
	stop := runWriter(t, w)
	for i := range turns {
		w.Enqueue(func() *Turn { return sampleTurn(float64(i)) })
		if i%10 == 0 {
			time.Sleep(3 * time.Millisecond)
		}
	}
	stop()
}

// readLife returns the times in ms of a life's readable turns and the number of gaps between them.
func readLife(s *Store, life string) (at []float64, gaps int, err error) {
	err = s.Read(life, func(turns []Turn, gap bool) error {
		for _, t := range turns {
			at = append(at, t.AtMs)
		}
		if gap {
			gaps++
		}
		return nil
	})
	return at, gaps, err
}
