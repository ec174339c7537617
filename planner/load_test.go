package planner

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLoadFromRequestsInFlight guards reports of requests in flight without a queue or a utilization: taken for a queue, three of
// them in an endpoint of eight cores were a load of 1.1, and a calm day rejected 60% of its requests (harbour-one, calm+mass).
func TestLoadFromRequestsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		load      func(second int) Load
		sheds     bool
		penalized bool
	}{
		"many cores, half in use":     {func(s int) Load { return Load{"in_hand": float64(12 + s%2), "rate": 100} }, false, false},
		"more, as fast":               {func(s int) Load { return Load{"in_hand": float64(12 + s), "rate": 100 + 8*float64(s)} }, false, false},
		"queues fill":                 {func(s int) Load { return Load{"in_hand": 12 + 30*float64(max(0, s-5)), "rate": 100} }, true, true},
		"no rate":                     {func(s int) Load { return Load{"in_hand": 12 + 30*float64(s)} }, false, false},
		"nothing in flight":           {func(int) Load { return Load{"in_hand": 0, "rate": 0} }, false, false},
		"a queue is reported as well": {func(int) Load { return Load{"in_hand": 12, "rate": 100, "waiting": 30} }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) { settings["fields"] = []any{"in_hand", "rate"} })
			for s := range 20 {
				h.rounds(1, func() (events []Event) {
					for e := range 6 {
						events = append(events, EndpointStats{Endpoint: e, Zone: 0, Attempts: 20, MeanMs: 100, SpanMs: 1000, Load: c.load(s)})
					}
					return events
				})
			}
			least := 1.0
			for _, l := range h.admission {
				least = math.Min(least, l.Level)
			}
			assert.Equal(t, c.sheds, least < 1)
			assert.Equal(t, c.penalized, h.planner.endpoints[0].penalty > 0.1)
			assert.False(t, math.IsNaN(h.planner.endpoints[0].load.value))
		})
	}
}
