package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPlannerSettings checks that durations are converted to milliseconds and names to indices.
func TestPlannerSettings(t *testing.T) {
	p, err := Parse("f.hcl", []byte(validSettings))
	require.NoError(t, err)
	settings := p.PlannerSettings(0)
	assert.Equal(t, []any{1.0}, classSettings(t, settings, 1)["only_machines"])
	assert.Equal(t, 1000.0, classSettings(t, settings, 0)["response_target"])
	assert.Equal(t, 2000.0, settings["drain_grace"])
	assert.Equal(t, "a", p.Zone)
}

// classSettings returns the planner's settings for the request class at an index.
func classSettings(t *testing.T, settings map[string]any, index int) map[string]any {
	t.Helper()
	classes, ok := settings["req_kinds"].([]any)
	require.True(t, ok, "%T", settings["req_kinds"])
	require.Greater(t, len(classes), index)
	class, ok := classes[index].(map[string]any)
	require.True(t, ok, "%T", classes[index])
	return class
}
