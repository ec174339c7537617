package planner

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLoadFromRequestsInFlight guards reports that tell of reqs in hand, and of no queue and no load: taken for a queue, three of them in
// an endpoint of eight cores were a load of 1.1, and a calm day denied 60% of its reqs (harbour-one, calm+mass).
func TestLoadFromRequestsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		load   func(second int) Load
		denies bool
		price  bool // some penalty
	}{
		"many cores, half in use": {func(s int) Load { return Load{"in_hand": float64(12 + s%2), "rate": 100} }, false, false},
		"more, as fast":           {func(s int) Load { return Load{"in_hand": float64(12 + s), "rate": 100 + 8*float64(s)} }, false, false},
		"queues fill":             {func(s int) Load { return Load{"in_hand": 12 + 30*float64(max(0, s-5)), "rate": 100} }, true, true},
		"no rate":                 {func(s int) Load { return Load{"in_hand": 12 + 30*float64(s)} }, false, false},
		"nothing in hand":         {func(int) Load { return Load{"in_hand": 0, "rate": 0} }, false, false},
		"a queue is told as well": {func(int) Load { return Load{"in_hand": 12, "rate": 100, "waiting": 30} }, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newHarness(t, func(terms map[string]any, _ []Entry) { terms["fields"] = []any{"in_hand", "rate"} })
			for s := range 20 {
				p.rounds(1, func() (notes []Event) {
					for e := range 6 {
						notes = append(notes, EndpointStats{Endpoint: e, Zone: 0, Attempts: 20, MeanMs: 100, SpanMs: 1000, Load: c.load(s)})
					}
					return notes
				})
			}
			least := 1.0
			for _, l := range p.admission {
				least = math.Min(least, l.Level)
			}
			assert.Equal(t, c.denies, least < 1)
			assert.Equal(t, c.price, p.planner.endpoints[0].penalty > 0.1)
			assert.False(t, math.IsNaN(p.planner.endpoints[0].load.value))
		})
	}
}
