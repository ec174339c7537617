package settings

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/planner"
)

// TestLoadNames checks that load reports with the metric names of the platform and of the simulator are converted to
// the same load, and that invalid values are dropped.
func TestLoadNames(t *testing.T) {
	want := planner.Load{"util": 0.5, "rate": 7}
	assert.Equal(t, want, ParseLoad(map[string]float64{"util": 0.5, "qps": 7}))
	assert.Equal(t, want, ParseLoad(map[string]float64{"cpu_share": 0.5, "served_ps": 7}))
	assert.Equal(t, planner.Load{"util": 0.5}, ParseLoad(map[string]float64{"util": 0.5, "qps": math.Inf(1), "queue": -1}))
}
