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

var update = flag.Bool("update", false, "rewrite the exports in testdata; only if the export format changes on purpose")

// TestExportStays guards against incompatible changes of the export formats, which other programs read: both must equal
// the exports written by commit 7c7c6c6.
func TestExportStays(t *testing.T) {
	dir := t.TempDir()
	store, err := record.Open(dir, false)
	require.NoError(t, err)
	defer mustClose(t, store)
	limits := record.Limits{SegmentBytes: 1 << 20, CommitInterval: time.Millisecond}
	writer, err := record.NewWriter(store, record.Life{ID: "life"}, limits, zap.NewNop())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	writer.Enqueue(func() *record.Turn { return &record.Turn{AtMs: 1250.5, Digest: 77, Inputs: everyInput} })
	writer.Enqueue(func() *record.Turn { return &record.Turn{AtMs: 1300} })
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

// everyInput contains one recorded input of each kind.
var everyInput = []record.Input{
	{Kind: record.KindProxyJoined, Stream: 3, Message: &wire.Hello{
		Version: 1, Proxy: "p", Zone: "a", Boot: 8, Rate: 2.5, Fresh: true, Holds: []string{"x"},
		Tables: []wire.HeldTable{{Table: 2, Lines: []wire.HeldLine{{Endpoint: "x", Weight: 0.5}}}},
	}},
	{Kind: record.KindProxyLeft, Stream: 3},
	{Kind: record.KindAcked, Stream: 3, Message: &wire.Done{Mark: 9, TookMs: 0.5}},
	{Kind: record.KindEndpointsListed, Message: &wire.List{Version: 2, Now: 5, Whole: true, Entries: []wire.Entry{{
		Endpoint: "x", Zone: "a", Machine: "m",
		Cell: 4, Phase: 1, Weight: 1, Started: 3,
	}}}},
	{Kind: record.KindEndpointListLost},
	{Kind: record.KindGossip, From: 2, Text: "hi"},
	{Kind: record.KindSettingsChanged, Text: `{"backlog":5}`},
	{
		Kind:        record.KindHealthChecked,
		Text:        "x",
		HealthCheck: planner.HealthCheckResult{Outcome: "ok", TookMs: 1.25, Load: planner.Load{"util": 0.5}},
	},
	{Kind: record.KindEndpointStats, Event: planner.EndpointStats{
		Endpoint: 1,
		Zone:     2,
		Attempts: 30,
		Failed:   4,
		MeanMs:   12.5,
		SpanMs:   1000,
		Load:     planner.Load{"util": 0.25, "rate": 7},
	}},
	{Kind: record.KindSliceAssigned, Message: &wire.Slices{
		Slice: 3,
		Given: true,
		Lines: []wire.HeldLine{{Endpoint: "x", Weight: 1}},
		From:  "a",
		To:    "b",
	}},
	{
		Kind:  record.KindSliceStats,
		Event: planner.SliceStats{Slice: 3, Class: 1, Requests: 4, Unanswered: 1, SpanMs: 1000},
	},
	{
		Kind:  record.KindRequestStats,
		Event: planner.RequestStats{Proxy: 4, Class: 1, Requests: 12, Unanswered: 1, SpanMs: 999.5},
	},
}
