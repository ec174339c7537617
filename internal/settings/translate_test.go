package settings

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"

	"indigousher/planner"
)

func TestTermsAreInOurWords(t *testing.T) {
	d := Parse(map[string]any{
		"kinds": []any{"m", "n"}, "dcs": []any{"a", "b"}, "fresh_key": 3.0, "zone": "b",
		"extra":    map[string]any{"push_delay": 2e6, "admission": "share"},
		"profiles": []any{map[string]any{"name": "w", "idempotency": "non_idempotent", "aim": 5e6, "only_kinds": []any{"n"}}},
	})
	assert.Equal(t, 2.0, d.Settings["late_mean"])
	assert.Equal(t, 3.0, d.Settings["fresh_key"])
	assert.Equal(t, 1.0, d.Settings["zone"])
	kind := d.Settings["req_kinds"].([]any)[0].(map[string]any)
	assert.Equal(t, []any{1.0}, kind["only_machines"])
	assert.Equal(t, "non-replayable", kind["repeats"])
	assert.Equal(t, 5.0, kind["response_target"])
	assert.Equal(t, []string{"w"}, d.Classes.All())
	_, err := d.Zones.Lookup(2)
	assert.ErrorContains(t, err, "no id behind index 2")
}

// The platform names the figures of load reports as the pages do, the simulator as its wire does.
func TestLoadHasOneNameOnBothWays(t *testing.T) {
	want := planner.Load{"util": 0.5, "rate": 7}
	assert.Equal(t, want, ParseLoad(map[string]float64{"util": 0.5, "qps": 7}))
	assert.Equal(t, want, ParseLoad(map[string]float64{"cpu_share": 0.5, "served_ps": 7}))
	assert.Equal(t, planner.Load{"util": 0.5}, ParseLoad(map[string]float64{"util": 0.5, "qps": math.Inf(1), "queue": -1}))
}

// TestRename guards memory: an index that goes from name to name keeps none but the last.
func TestRename(t *testing.T) {
	var d Names
	d.Intern("a")
	for i := range 100 {
		d.Rename(d.Intern("b"), fmt.Sprint("c", i))
		d.Rename(1, "b")
	}
	assert.Equal(t, 2, d.Len())
	assert.Len(t, d.index, 2)
	assert.Equal(t, []string{"a", "b"}, d.All())
	_, known := d.Find("c7")
	assert.False(t, known)
	assert.Equal(t, "", d.Name(2))
}
