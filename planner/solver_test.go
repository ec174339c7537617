package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestProjectShares checks the projection onto the capped simplex.
func TestProjectShares(t *testing.T) {
	for name, c := range map[string]struct {
		allocations []allocation
		want        []float64
	}{
		"in proportion to weights": {[]allocation{{weight: 0.25, limit: 1}, {weight: 0.75, limit: 1}}, []float64{0.25, 0.75}},
		"never below 0":            {[]allocation{{weight: 0.5, limit: 1, share: -2}, {weight: 0.5, limit: 1, share: 0.5}}, []float64{0.25, 0.75}},
		"share above its limit":    {[]allocation{{weight: 0.5, limit: 0.1, share: 0.5}, {weight: 0.5, limit: 1, share: 0.5}}, []float64{0.1, 0.9}},
		"sum of limits below 1":    {[]allocation{{weight: 0.5, limit: 0.1, share: 1}, {weight: 0.5, limit: 0.3, share: 1}}, []float64{0.25, 0.75}},
		"no weights":               {[]allocation{{}, {}}, []float64{0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			projectShares(c.allocations)
			for i, a := range c.allocations {
				assert.InDelta(t, c.want[i], a.share, 1e-3)
			}
		})
	}
}
