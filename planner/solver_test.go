package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestProjectShares holds the projection against the capped simplex.
func TestProjectShares(t *testing.T) {
	for name, c := range map[string]struct {
		allocations []allocation
		want        []float64
	}{
		"in proportion":        {[]allocation{{weight: 0.25, limit: 1}, {weight: 0.75, limit: 1}}, []float64{0.25, 0.75}},
		"never below 0":        {[]allocation{{weight: 0.5, limit: 1, share: -2}, {weight: 0.5, limit: 1, share: 0.5}}, []float64{0.25, 0.75}},
		"limit passes it on":   {[]allocation{{weight: 0.5, limit: 0.1, share: 0.5}, {weight: 0.5, limit: 1, share: 0.5}}, []float64{0.1, 0.9}},
		"limits widen equally": {[]allocation{{weight: 0.5, limit: 0.1, share: 1}, {weight: 0.5, limit: 0.3, share: 1}}, []float64{0.25, 0.75}},
		"nothing listed":       {[]allocation{{}, {}}, []float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			projectShares(c.allocations)
			for i, a := range c.allocations {
				assert.InDelta(t, c.want[i], a.share, 1e-3)
			}
		})
	}
}
