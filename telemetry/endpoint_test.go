package telemetry

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestEndpointRestart checks that a report whose period includes an endpoint's restart counts only for the part after
// the restart, and that sums from before the restart are dropped.
func TestEndpointRestart(t *testing.T) {
	aggregator := New[float64](testOptions())
	aggregator.UpdateEndpoint(0, 0, planner.Ready, 0)
	aggregator.Join(0, 0, 0)
	aggregator.Add(1000, &Report[float64]{Seq: 1, AtMs: 1000, SpanMs: 1000, EndpointLines: []EndpointLine[float64]{{Attempts: 50, Failed: 50}}})
	aggregator.UpdateEndpoint(1500, 0, planner.Ready, 1500) // a restart, which drops the sum of the first report
	lines := []EndpointLine[float64]{{Attempts: 40, Load: 1, HasLoad: true}}
	aggregator.Add(2000, &Report[float64]{Seq: 2, AtMs: 2000, SpanMs: 1000, EndpointLines: lines})
	flushed := aggregator.Flush(2000, 1000).EndpointSums
	require.Len(t, flushed, 1)
	assert.Zero(t, flushed[0].Failed)
	assert.InDelta(t, 20, flushed[0].Attempts, 2)
	assert.False(t, flushed[0].HasLoad, "the load report may be from before the restart")
}
