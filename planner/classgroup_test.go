package planner

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestClassesWithTheirOwnMachines(t *testing.T) {
	p := newHarness(t, func(terms map[string]any, _ []Entry) {
		terms["req_kinds"].([]any)[1].(map[string]any)["only_machines"] = []any{1.0}
	})
	require.Len(t, p.assigned[0], 2)
	p.rounds(3, nil)
	assert.Equal(t, 1.0, p.share(p.assigned[0][0].Table, 0, 1))
	assert.Equal(t, 1.0, p.share(p.assigned[0][1].Table, 1), "only the open machine")
}
