package planner

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLoadFromRequestsInFlight guards against taking requests in flight for queued requests if reports contain neither
// a queue length nor a utilization. Three requests in flight at an endpoint with eight cores counted as a load of 1.1,
// and 60% of the requests were rejected without any overload (deployment harbour-one, scenario calm+mass).
func TestLoadFromRequestsInFlight(t *testing.T) {
	inFlight := func(requests, rate float64) Load { return Load{"in_hand": requests, "rate": rate} }
	for name, c := range map[string]struct {
		load      func(second float64) Load
		sheds     bool
		penalized bool
	}{
		"many cores, half in use": {
			func(s float64) Load { return inFlight(12+math.Mod(s, 2), 100) }, false, false,
		},
		"more requests, same residence time": {func(s float64) Load { return inFlight(12+s, 100+8*s) }, false, false},
		"queues grow":                        {func(s float64) Load { return inFlight(12+30*max(0, s-5), 100) }, true, true},
		"no rate":                            {func(s float64) Load { return Load{"in_hand": 12 + 30*s} }, false, false},
		"nothing in flight": {
			func(float64) Load { return inFlight(0, 0) }, false, false,
		},
		"a queue length is reported as well": {
			func(float64) Load { return Load{"in_hand": 12, "rate": 100, "waiting": 30} }, true, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(settings map[string]any, _ []Entry) {
				settings["fields"] = []any{"in_hand", "rate"}
			})
			for second := range 20 {
				h.rounds(1, func() (events []Event) {
					for endpoint := range 6 {
						events = append(events, EndpointStats{
							Endpoint: endpoint, Zone: 0, Attempts: 20, MeanMs: 100, SpanMs: 1000,
							Load: c.load(float64(second)),
						})
					}
					return events
				})
			}
			minLevel := 1.0
			for _, l := range h.admission {
				minLevel = math.Min(minLevel, l.Level)
			}
			assert.Equal(t, c.sheds, minLevel < 1)
			assert.Equal(t, c.penalized, h.planner.endpoints[0].penalty > 0.1)
			assert.False(t, math.IsNaN(h.planner.endpoints[0].load.value))
		})
	}
}
