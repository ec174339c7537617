package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSpillover(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5}
	for name, c := range map[string]struct {
		loads                    func() []Event
		rounds                   int
		minOwnShare, maxOwnShare float64
	}{
		"no reports: only own zone":             {nil, 5, 1, 1},
		"moderate load: only own zone":          {steady(0, 10, 0, 0.4, all...), 10, 1, 1},
		"own zone overloaded: spillover":        {together(steady(0, 10, 0, 1, 0, 1), steady(0, 2, 0, 0.2, 2, 3, 4, 5)), 12, 0.1, 0.9},
		"all zones overloaded: mostly own zone": {steady(0, 10, 0, 1, all...), 12, 0.5, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.rounds(c.rounds, c.loads)
			own := h.share(0, 0, 1)
			assert.GreaterOrEqual(t, own, c.minOwnShare-1e-9)
			assert.LessOrEqual(t, own, c.maxOwnShare+1e-9)
		})
	}
}

func TestForecastSpillsBeforeReports(t *testing.T) {
	h := newHarness(t, nil)
	h.step(ProxyJoined{Proxy: 2, Zone: 0, Rate: 200})
	h.rounds(3, steady(0, 10, 0, 0.7, 0, 1, 2, 3, 4, 5))
	assert.Less(t, h.share(0, 0, 1), 0.9, "a zone with most of the demand spills over")
	assert.Equal(t, 1.0, h.share(1, 2, 3))
}
