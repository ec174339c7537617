package record

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/planner"
)

// TestEstimate guards the estimate for tables that were not in force in the record: endpoint 0 failed half of its
// attempts, endpoint 1 none, and both had the same share.
func TestEstimate(t *testing.T) {
	for _, c := range []struct {
		name      string
		shares    map[int]float64
		failed    float64
		mean      float64 // ms
		trusted   float64
		tolerance float64
	}{
		{"recorded shares", map[int]float64{0: 0.5, 1: 0.5}, 0.25, 40.0 / 3, 1, 0.001},
		{"smaller share of the failing endpoint", map[int]float64{0: 0.3, 1: 0.7}, 0.15, (0.15*20 + 0.7*10) / 0.85, 1, 0.001},
		{"all attempts at endpoint 1, beyond its recorded load", map[int]float64{1: 1}, 0, 10, 0, 0.001},
		{"share of an endpoint without attempts", map[int]float64{0: 0.25, 1: 0.25, 9: 0.5}, 0.25, 40.0 / 3, 0.5, 0.001},
		{"only an endpoint without attempts", map[int]float64{9: 1}, 0, 0, 0, 0.001},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEstimator(func() map[int]map[int]float64 { return map[int]map[int]float64{0: c.shares} })
			for range 10 {
				e.observe([]planner.Event{
					planner.EndpointStats{Endpoint: 0, Attempts: 100, Failed: 50, MeanMs: 20},
					planner.EndpointStats{Endpoint: 1, Attempts: 100, MeanMs: 10},
				})
			}
			r := e.result()
			assert.InDelta(t, 0.25, r.Recorded, 1e-9)
			assert.InDelta(t, c.failed, r.Failed, c.tolerance)
			assert.InDelta(t, c.mean, r.MeanMs, c.tolerance)
			assert.InDelta(t, c.trusted, r.Trusted, c.tolerance)
		})
	}
}
