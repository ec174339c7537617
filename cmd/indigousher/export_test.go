package main

import (
	"context"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"indigousher/internal/record"
	"indigousher/internal/wire"
	"indigousher/planner"
)

var update = flag.Bool("update", false, "write the exports of testdata anew; only where their form is meant to change")

// TestExportStays holds both forms in which a record is exported against those of commit 7c7c6c6: others read them.
func TestExportStays(t *testing.T) {
	dir := t.TempDir()
	store, err := record.Open(dir, false)
	require.NoError(t, err)
	defer store.Close()
	writer, err := record.NewWriter(store, record.Life{ID: "life"}, record.Bounds{Segment: 1 << 20, Every: time.Millisecond}, zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	writer.Turn(func() *record.Turn { return &record.Turn{AtMs: 1250.5, Digest: 77, Inputs: everyInput} })
	writer.Turn(func() *record.Turn { return &record.Turn{AtMs: 1300} })
	cancel()
	require.NoError(t, writer.Run(ctx))
	for _, format := range []string{"json", "csv"} {
		var out strings.Builder
		require.NoError(t, exportLife(&out, store, "life", format))
		path := filepath.Join("testdata", "export."+format)
		if *update {
			require.NoError(t, os.MkdirAll("testdata", 0o755))
			require.NoError(t, os.WriteFile(path, []byte(out.String()), 0o644))
		}
		want, err := os.ReadFile(path)
		require.NoError(t, err)
		assert.Equal(t, string(want), out.String())
	}
}

// everyInput has one of each kind of recorded input.
var everyInput = []record.Input{
	{Kind: record.Join, Stream: 3, Message: &wire.Hello{Version: 1, Proxy: "p", Zone: "a", Boot: 8, Rate: 2.5, Fresh: true, Holds: []string{"x"},
		Tables: []wire.HeldTable{{Table: 2, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 0.5}}}}}},
	{Kind: record.Leave, Stream: 3},
	{Kind: record.Applied, Stream: 3, Message: &wire.Done{Mark: 9, TookMs: 0.5}},
	{Kind: record.Listed, Message: &wire.List{Version: 2, Now: 5, Whole: true, Entries: []wire.Entry{{Endpoint: "x", Zone: "a", Machine: "m",
		Cell: 4, Phase: 1, Weight: 1, Started: 3}}}},
	{Kind: record.ListLost},
	{Kind: record.Heard, From: 2, Text: "hi"},
	{Kind: record.Retermed, Text: `{"backlog":5}`},
	{Kind: record.Probed, Text: "x", Probe: planner.Probed{Outcome: "ok", TookMs: 1.25, Load: planner.Load{"util": 0.5}}},
	{Kind: record.Met, Note: planner.Met{Endpoint: 1, Zone: 2, Tries: 30, Failed: 4, MeanMs: 12.5, SpanMs: 1000, Load: planner.Load{"util": 0.25, "rate": 7}}},
	{Kind: record.SliceGiven, Message: &wire.Slices{Slice: 3, Given: true, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 1}}, From: "a", To: "b"}},
	{Kind: record.SliceDemand, Note: planner.SliceDemand{Slice: 3, Kind: 1, Reqs: 4, Unanswered: 1, SpanMs: 1000}},
	{Kind: record.Demand, Note: planner.Demand{Proxy: 4, Kind: 1, Reqs: 12, Unanswered: 1, SpanMs: 999.5}},
}
