package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestClassRestrictedToMachines(t *testing.T) {
	h := newHarness(t, func(settings map[string]any, _ []Entry) {
		classes, ok := settings["req_kinds"].([]any)
		require.True(t, ok)
		class, ok := classes[1].(map[string]any)
		require.True(t, ok)
		class["only_machines"] = []any{1.0}
	})
	require.Len(t, h.assigned[0], 2)
	h.rounds(3, nil)
	assert.Equal(t, 1.0, h.share(h.assigned[0][0].Table, 0, 1))
	assert.Equal(t, 1.0, h.share(h.assigned[0][1].Table, 1), "only the endpoint with an allowed machine type")
}
