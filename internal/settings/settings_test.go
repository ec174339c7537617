package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"indigousher/planner"
)

// TestParse checks that Parse renames settings and their values, converts times to milliseconds, flattens nested
// settings and replaces references to names by indices.
func TestParse(t *testing.T) {
	d := Parse(map[string]any{
		"kinds": []any{"m", "n"}, "dcs": []any{"a", "b"}, "fresh_key": 3.0, "zone": "b",
		"extra": map[string]any{"push_delay": 2e6, "admission": "share"},
		"profiles": []any{
			map[string]any{"name": "w", "idempotency": "non_idempotent", "aim": 5e6, "only_kinds": []any{"n"}},
		},
	})
	assert.Equal(t, 2.0, d.Settings["late_mean"])
	assert.Equal(t, 3.0, d.Settings["fresh_key"])
	assert.Equal(t, 1.0, d.Settings["zone"])
	classes, ok := d.Settings["req_kinds"].([]any)
	require.True(t, ok)
	kind, ok := classes[0].(map[string]any)
	require.True(t, ok)
	assert.Equal(t, []any{1.0}, kind["only_machines"])
	assert.Equal(t, "non-replayable", kind["repeats"])
	assert.Equal(t, 5.0, kind["response_target"])
	assert.Equal(t, []string{"w"}, d.Classes.All())
	_, err := d.Zones.Lookup(2)
	assert.ErrorContains(t, err, "no name is assigned to index 2")
}

// TestIdempotencyKeySettings checks that the planner reads from the operators' settings whether proxies may repeat a
// request that carries an idempotency key.
func TestIdempotencyKeySettings(t *testing.T) {
	for group, want := range map[string]bool{"all": true, "cell": false} {
		d := Parse(map[string]any{"profiles": []any{map[string]any{
			"idempotency": "idempotency_key", "group": group, "window": 5e9, "give_up": 4e9,
		}}})
		parsed, err := planner.ParseSettings(d.Settings)
		require.NoError(t, err)
		require.Len(t, parsed.Classes, 1)
		assert.Equal(t, want, parsed.Classes[0].Deduplicated, group)
	}
}

// TestParseSameNameTwice guards against review case 9: where a price had the name of another setting, either of them was
// kept, by chance, so that about half of the instances did not know that the endpoint list must be asked for.
func TestParseSameNameTwice(t *testing.T) {
	for range 50 { // the order of a map's elements differs from run to run
		d := Parse(map[string]any{
			"discovery": "on_request",
			"prices":    map[string]any{"discovery": 0.5, "probe": 1.0},
			"extra":     map[string]any{"probe": 2.0},
		})
		assert.Equal(t, "on_request", d.Settings["discovery"])
		assert.Equal(t, 2.0, d.Settings["probe"])
	}
}
