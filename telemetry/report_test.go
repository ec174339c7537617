package telemetry

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestRejectedReports checks that invalid reports and lines are rejected and counted under the right reason.
func TestRejectedReports(t *testing.T) {
	good := func() *Report[float64] {
		lines := []EndpointLine[float64]{{Endpoint: 0, Attempts: 10, MeanMs: 5}}
		return &Report[float64]{Sender: 0, Seq: 5, AtMs: 1000, SpanMs: 1000, EndpointLines: lines}
	}
	for _, c := range []struct {
		name   string
		modify func(*Report[float64])
		reason Reason
	}{
		{"repeated sequence number", func(r *Report[float64]) { r.Seq = 4 }, Repeated},
		{"from an unknown sender", func(r *Report[float64]) { r.Sender = 9 }, UnknownSender},
		{"period of length zero", func(r *Report[float64]) { r.SpanMs = 0 }, NoSpan},
		{"negative period", func(r *Report[float64]) { r.SpanMs = -1 }, Implausible},
		{"period of days", func(r *Report[float64]) { r.SpanMs = 1e9 }, Implausible},
		{"period that is not a number", func(r *Report[float64]) { r.SpanMs = math.NaN() }, Implausible},
		{"infinite time of sending", func(r *Report[float64]) { r.AtMs = math.Inf(1) }, Implausible},
		{"implausibly many attempts", func(r *Report[float64]) { r.EndpointLines[0].Attempts = 1e9 }, Implausible},
		{"more failures than attempts", func(r *Report[float64]) { r.EndpointLines[0].Failed = 11 }, Implausible},
		{"negative attempts", func(r *Report[float64]) { r.EndpointLines[0].Attempts = -1 }, Implausible},
		{"mean duration that is not a number", func(r *Report[float64]) { r.EndpointLines[0].MeanMs = math.NaN() }, Implausible},
		{"endpoint never listed", func(r *Report[float64]) { r.EndpointLines[0].Endpoint = 7 }, Unlisted},
		{"endpoint gone from the list", func(r *Report[float64]) { r.EndpointLines[0].Endpoint = 1 }, Unlisted},
		{"period before a restart of the endpoint", func(r *Report[float64]) { r.EndpointLines[0].Endpoint = 2 }, Restarted},
	} {
		t.Run(c.name, func(t *testing.T) {
			aggregator := New[float64](testOptions())
			for e := range 3 {
				aggregator.UpdateEndpoint(0, e, planner.Ready, 0)
			}
			aggregator.UpdateEndpoint(500, 1, planner.Gone, 0)
			require.True(t, aggregator.Join(0, 0, 0))
			aggregator.Add(990, &Report[float64]{Sender: 0, Seq: 4, AtMs: 990, SpanMs: 1})
			aggregator.UpdateEndpoint(1000, 2, planner.Ready, 1000)
			r := good()
			c.modify(r)
			aggregator.Add(1000, r)
			assert.EqualValues(t, 1, aggregator.Counts[c.reason])
			assert.Zero(t, aggregator.Counts[Merged])
			assert.Empty(t, aggregator.Flush(2000, 1000).EndpointSums)
		})
	}
}
